package ridgemill.gateway.membership.eureka;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Arrays;
import java.util.List;

/** Looks a host's name up. It may block, and is called on a thread that may wait. */
@FunctionalInterface
public interface NameLookup {

    /** As this machine looks names up: its hosts file, its name servers, and the Java machine's own cache. */
    NameLookup SYSTEM = name -> Arrays.stream(InetAddress.getAllByName(name)).map(InetAddress::getHostAddress).toList();

    /** All addresses of a name as text, at least one; throws where there is none. */
    List<String> addresses(String name) throws UnknownHostException;
}
