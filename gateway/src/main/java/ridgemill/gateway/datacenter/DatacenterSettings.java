package ridgemill.gateway.datacenter;

import java.net.InetSocketAddress;
import java.util.Map;
import ridgemill.datacenter.DatacenterPolicy;

/**
 * This gateway's place between the halls.
 *
 * @param listen where gateways of other halls connect; null where none may
 * @param security how they know each other
 * @param gatewayAddresses of other halls' gateways, by the names that the policy has for them
 * @param policy what may cross
 */
public record DatacenterSettings(InetSocketAddress listen, DatacenterSecurity security, Map<String, InetSocketAddress> gatewayAddresses,
                           DatacenterPolicy policy) {

    public DatacenterSettings {
        gatewayAddresses = Map.copyOf(gatewayAddresses);
    }
}
