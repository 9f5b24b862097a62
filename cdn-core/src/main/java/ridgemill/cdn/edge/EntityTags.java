package ridgemill.cdn.edge;

/** Compares entity tags as specified by RFC 9110. */
public final class EntityTags {

    private EntityTags() {}

    /** Whether an If-None-Match header lists this entity tag, by weak comparison. Either argument may be null. */
    public static boolean matches(String header, String etag) {
        if (header == null || etag == null) {
            return false;
        }
        if (header.trim().equals("*")) {
            return true;
        }
        int start = 0;
        while (start <= header.length()) {
            int comma = header.indexOf(',', start);
            int end = comma < 0 ? header.length() : comma;
            if (opaqueTag(header.substring(start, end).trim()).equals(opaqueTag(etag))) {
                return true;
            }
            start = end + 1;
        }
        return false;
    }

    private static String opaqueTag(String tag) {
        return tag.startsWith("W/") ? tag.substring(2) : tag;
    }
}
