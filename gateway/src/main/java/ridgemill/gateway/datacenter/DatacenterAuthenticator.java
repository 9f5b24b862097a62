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

/** Authenticates gateways to each other, by certificates or by a shared key. */
final class DatacenterAuthenticator {

    private static final String MAC_ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 16;
    private static final int DNS_NAME_TYPE = 2;

    private final DatacenterSecurity security;
    private final SecureRandom random = new SecureRandom();
    private final SslContext serverContext;
    private final SslContext clientContext;

    /** Reads the certificates, if TLS is used; throws if one is not usable. */
    DatacenterAuthenticator(DatacenterSecurity security) throws IOException {
        this.security = security;
        if (security instanceof DatacenterSecurity.Tls tls) {
            try {
                serverContext = configure(SslContextBuilder.forServer(tls.certificate().toFile(),
                        tls.privateKey().toFile()), tls)
                        .clientAuth(ClientAuth.REQUIRE).build();
                // The certificate holds the name of the datacenter, not the addresses of its gateways.
                clientContext = configure(SslContextBuilder.forClient()
                        .keyManager(tls.certificate().toFile(), tls.privateKey().toFile()), tls)
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
                        ApplicationProtocolConfig.SelectedListenerFailureBehavior.ACCEPT,
                        ApplicationProtocolNames.HTTP_2));
    }

    /** Returns the TLS context for incoming connections; null without TLS. */
    SslContext serverContext() {
        return serverContext;
    }

    /** Returns the TLS context for outgoing connections; null without TLS. */
    SslContext clientContext() {
        return clientContext;
    }

    /** Whether each side must prove that it has the shared key. */
    boolean usesSharedKey() {
        return security instanceof DatacenterSecurity.SharedKey;
    }

    /** Returns a new random nonce. */
    String nonce() {
        byte[] bytes = new byte[NONCE_BYTES];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /**
     * Returns an authentication code of these texts, or an empty text without a shared key. The {@code role} prevents
     * that the proof of the answering side is reflected as the proof of the asking side.
     */
    String proof(String role, String... texts) {
        if (!(security instanceof DatacenterSecurity.SharedKey shared)) {
            return "";
        }
        try {
            Mac mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(new SecretKeySpec(shared.key(), MAC_ALGORITHM));
            // No text contains a line end, so different lists never give the same input.
            return HexFormat.of().formatHex(mac.doFinal((role + "\n" + String.join("\n", texts))
                    .getBytes(StandardCharsets.UTF_8)));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the Java runtime does not support " + MAC_ALGORITHM, e);
        }
    }

    /** Compares a proof with the expected one in constant time. */
    static boolean constantTimeEquals(String proof, String expected) {
        return MessageDigest.isEqual(proof.getBytes(StandardCharsets.UTF_8), expected.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the common name and DNS names in the certificate of the other side; empty if it presented none. */
    static List<String> certificateNames(SSLSession session) {
        try {
            return certificateNames((X509Certificate) session.getPeerCertificates()[0]);
        } catch (SSLPeerUnverifiedException | CertificateParsingException | InvalidNameException e) {
            return List.of();
        }
    }

    private static List<String> certificateNames(X509Certificate certificate) throws CertificateParsingException,
                                                 InvalidNameException {
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
