package ridgemill.gateway.halls;

import java.net.InetSocketAddress;
import java.util.Map;
import ridgemill.datacenter.DatacenterPolicy;

/**
 * This gateway's place between the halls.
 *
 * @param listen where gateways of other halls connect; null where none may
 * @param security how they know each other
 * @param addresses of other halls' gateways, by the names that the policy has for them
 * @param policy what may cross
 */
public record HallSettings(InetSocketAddress listen, HallSecurity security, Map<String, InetSocketAddress> addresses,
                           DatacenterPolicy policy) {

    public HallSettings {
        addresses = Map.copyOf(addresses);
    }
}
