package ridgemill.gateway.datacenter;

import java.nio.file.Path;
import java.util.Arrays;

/** How gateways of different halls know each other. */
public sealed interface DatacenterSecurity {

    /**
     * TLS with a certificate on both sides (RFC 8446). A certificate is a hall's if its subject's common name or one of its
     * DNS names is the hall's name.
     *
     * @param certificate of this hall and of those that vouch for it, in PEM
     * @param privateKey of the certificate, PKCS #8 in PEM
     * @param trust certificates that vouch for other halls, in PEM
     */
    record Tls(Path certificate, Path privateKey, Path trust) implements DatacenterSecurity { }

    /** A key that all gateways have and prove to each other. What follows is neither hidden nor signed. */
    record SharedKey(byte[] key) implements DatacenterSecurity {

        @Override
        public boolean equals(Object o) {
            return o instanceof SharedKey other && Arrays.equals(key, other.key);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(key);
        }

        @Override
        public String toString() {
            return "SharedKey";
        }
    }

    /** Nothing is proven: for links that are safe by other means. */
    record Unauthenticated() implements DatacenterSecurity { }
}
