package ridgemill.gateway.datacenter;

import io.netty.handler.codec.http2.Http2SecurityUtil;
import io.netty.handler.ssl.ApplicationProtocolConfig;
import io.netty.handler.ssl.ApplicationProtocolNames;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import io.netty.handler.ssl.SupportedCipherSuiteFilter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;

/** What gateways prove to each other, by certificates or by a key that they share. */
final class DatacenterAuthenticator {

    private static final String MAC_ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 16;
    private static final int DNS_NAME_TYPE = 2;

    private final DatacenterSecurity security;
    private final SecureRandom random = new SecureRandom();
    private final SslContext serverContext;
    private final SslContext clientContext;

    /** Reads the certificates, where there are any; throws where one can't be used. */
    DatacenterAuthenticator(DatacenterSecurity security) throws IOException {
        this.security = security;
        if (security instanceof DatacenterSecurity.Tls tls) {
            try {
                serverContext = configure(SslContextBuilder.forServer(tls.certificate().toFile(), tls.privateKey().toFile()), tls)
                        .clientAuth(ClientAuth.REQUIRE).build();
                // Halls are known by their names in the certificate; addresses of gateways are not in it.
                clientContext = configure(SslContextBuilder.forClient().keyManager(tls.certificate().toFile(), tls.privateKey().toFile()), tls)
                        .endpointIdentificationAlgorithm(null).build();
            } catch (IllegalArgumentException e) {
                throw new IOException("certificates of halls: " + e.getMessage(), e);
            }
        } else {
            serverContext = null;
            clientContext = null;
        }
    }

    private static SslContextBuilder configure(SslContextBuilder builder, DatacenterSecurity.Tls tls) {
        return builder.trustManager(tls.trust().toFile()).sslProvider(SslProvider.JDK)
                .ciphers(Http2SecurityUtil.CIPHERS, SupportedCipherSuiteFilter.INSTANCE)
                .applicationProtocolConfig(new ApplicationProtocolConfig(ApplicationProtocolConfig.Protocol.ALPN,
                        ApplicationProtocolConfig.SelectorFailureBehavior.NO_ADVERTISE,
                        ApplicationProtocolConfig.SelectedListenerFailureBehavior.ACCEPT, ApplicationProtocolNames.HTTP_2));
    }

    /** For connections that come; null without TLS. */
    SslContext serverContext() {
        return serverContext;
    }

    /** For connections that go; null without TLS. */
    SslContext clientContext() {
        return clientContext;
    }

    /** Whether each side must prove that it has the key. */
    boolean usesSharedKey() {
        return security instanceof DatacenterSecurity.SharedKey;
    }

    /** A number that nobody had before. */
    String nonce() {
        byte[] bytes = new byte[NONCE_BYTES];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /** What only one with the key can say of these; {@code role} keeps an answer from being sent back as a question's. */
    String proof(String role, String... about) {
        if (!(security instanceof DatacenterSecurity.SharedKey shared)) {
            return "";
        }
        try {
            Mac mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(new SecretKeySpec(shared.key(), MAC_ALGORITHM));
            // No part holds a line's end, so no two lists read alike.
            return HexFormat.of().formatHex(mac.doFinal((role + "\n" + String.join("\n", about)).getBytes(StandardCharsets.UTF_8)));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java machine has no " + MAC_ALGORITHM, e);
        }
    }

    /** Whether a proof is the one expected; takes as long whatever it is. */
    static boolean constantTimeEquals(String proof, String expected) {
        return MessageDigest.isEqual(proof.getBytes(StandardCharsets.UTF_8), expected.getBytes(StandardCharsets.UTF_8));
    }

    /** The names that the other side's certificate has; empty where it has shown none. */
    static List<String> certificateNames(SSLSession session) {
        try {
            return certificateNames((X509Certificate) session.getPeerCertificates()[0]);
        } catch (SSLPeerUnverifiedException | CertificateParsingException | InvalidNameException e) {
            return List.of();
        }
    }

    private static List<String> certificateNames(X509Certificate certificate) throws CertificateParsingException, InvalidNameException {
        List<String> names = new ArrayList<>();
        for (Rdn rdn : new LdapName(certificate.getSubjectX500Principal().getName()).getRdns()) {
            if (rdn.getType().equalsIgnoreCase("CN")) {
                names.add(String.valueOf(rdn.getValue()));
            }
        }
        if (certificate.getSubjectAlternativeNames() != null) {
            certificate.getSubjectAlternativeNames().stream().filter(n -> n.get(0).equals(DNS_NAME_TYPE))
                    .forEach(n -> names.add(String.valueOf(n.get(1))));
        }
        return names;
    }
}
