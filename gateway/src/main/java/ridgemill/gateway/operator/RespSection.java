package ridgemill.gateway.operator;

import java.util.HashMap;
import java.util.Map;

/** {@code [resp]}: what holds for clients that speak RESP. */
final class RespSection {

    private RespSection() { }

    /** The password of each tenant that may ask over RESP, by name. */
    static Map<String, String> read(Section root) {
        Map<String, String> passwords = new HashMap<>();
        root.table("resp").ifPresent(s -> {
            s.table("passwords").ifPresent(p -> p.keys().forEach(name -> p.text(name).ifPresent(word -> {
                if (word.isEmpty()) {
                    p.problem(name, "empty", "an empty password is none", "give one, or take the tenant out");
                }
                passwords.put(name, word);
            })));
            s.done();
        });
        return passwords;
    }
}
