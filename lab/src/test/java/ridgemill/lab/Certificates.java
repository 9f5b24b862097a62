package ridgemill.lab;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.Key;
import java.security.KeyStore;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Makes certificates for tests with the JDK's own keytool, as files in PEM. */
final class Certificates {

    private static final char[] PASSWORD = "password".toCharArray();

    private Certificates() { }

    /** A certificate that vouches for itself, of a hall: NAME.pem and NAME.key in the directory. */
    static void make(Path directory, String name) throws Exception {
        Path store = directory.resolve(name + ".p12");
        Process keytool = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "keytool").toString(), "-genkeypair", "-alias",
                "hall", "-keyalg", "EC", "-groupname", "secp256r1", "-dname", "CN=" + name, "-ext", "san=dns:" + name, "-validity", "30",
                "-storetype", "PKCS12", "-keystore", store.toString(), "-storepass", new String(PASSWORD)).redirectErrorStream(true)
                .redirectOutput(directory.resolve(name + ".keytool.log").toFile()).start();
        if (!keytool.waitFor(60, TimeUnit.SECONDS) || keytool.exitValue() != 0) {
            throw new IllegalStateException(Files.readString(directory.resolve(name + ".keytool.log")));
        }
        KeyStore keys = KeyStore.getInstance("PKCS12");
        try (InputStream in = Files.newInputStream(store)) {
            keys.load(in, PASSWORD);
        }
        Key key = keys.getKey("hall", PASSWORD);
        Files.writeString(directory.resolve(name + ".key"), pem("PRIVATE KEY", key.getEncoded()));
        Files.writeString(directory.resolve(name + ".pem"), pem("CERTIFICATE", keys.getCertificate("hall").getEncoded()));
    }

    /** One file with several certificates. */
    static void bundle(Path directory, String bundle, String... names) throws Exception {
        List<String> all = new ArrayList<>();
        for (String name : names) {
            all.add(Files.readString(directory.resolve(name + ".pem")));
        }
        Files.writeString(directory.resolve(bundle + ".pem"), String.join("", all));
    }

    private static String pem(String kind, byte[] encoded) {
        return "-----BEGIN " + kind + "-----\n" + Base64.getMimeEncoder(64, "\n".getBytes(StandardCharsets.US_ASCII)).encodeToString(encoded)
                + "\n-----END " + kind + "-----\n";
    }
}
