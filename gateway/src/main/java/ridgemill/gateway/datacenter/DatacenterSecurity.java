package ridgemill.gateway.datacenter;

import java.nio.file.Path;
import java.util.Arrays;

/** How gateways of different datacenters authenticate each other. */
public sealed interface DatacenterSecurity {

    /**
     * Mutual TLS (RFC 8446). A certificate belongs to a datacenter if the common name of its subject or one of its DNS
     * names is the name of the datacenter.
     *
     * @param certificate certificate chain of this datacenter, in PEM
     * @param privateKey private key of the certificate, PKCS #8 in PEM
     * @param trust certificates of the issuers that are trusted for other datacenters, in PEM
     */
    record Tls(Path certificate, Path privateKey, Path trust) implements DatacenterSecurity { }

    /**
     * A key that all gateways have and prove to each other on connecting. Later traffic is neither encrypted nor
     * signed.
     */
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

    /** No authentication, for links that are secured by other means. */
    record Unauthenticated() implements DatacenterSecurity { }
}
