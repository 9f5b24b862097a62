package ridgemill.gateway.datacenter;

import java.net.InetSocketAddress;
import java.util.Map;
import ridgemill.datacenter.DatacenterPolicy;

/**
 * The settings of this gateway for links between datacenters.
 *
 * @param listen address to which gateways of other datacenters connect; null if none may
 * @param security how gateways authenticate each other
 * @param gatewayAddresses addresses of the gateways of other datacenters, by their names in the policy
 * @param policy which requests may be forwarded
 */
public record DatacenterSettings(InetSocketAddress listen, DatacenterSecurity security, Map<String,
                                 InetSocketAddress> gatewayAddresses,
                           DatacenterPolicy policy) {

    public DatacenterSettings {
        gatewayAddresses = Map.copyOf(gatewayAddresses);
    }
}
