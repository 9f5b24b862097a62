package ridgemill.gateway.membership.eureka;

import java.util.Map;
import ridgemill.membership.Status;

/**
 * One instance as a registry tells of it. What it does not tell is null, 0 or empty; nothing is looked up or made up.
 *
 * @param app the application's name, in capitals
 * @param id the instance's own within its application
 * @param host by name or address, as it was registered
 * @param ip its address, as it was registered
 * @param port 0 where none is enabled
 * @param status what the registry says of it
 * @param overridden what an operator set it to; UNKNOWN for nothing
 * @param metadata texts of its own
 * @param serviceUpMs when this lease first was up, by the registry's clock, Unix time in milliseconds; 0 where it is not told
 * @param dirtyMs when the instance last changed the record, by its own clock; 0 where it is not told
 * @param action what became of it, in a delta; null otherwise
 */
record EurekaRecord(String app, String id, String host, String ip, int port, Status status, Status overridden,
                    Map<String, String> metadata, long serviceUpMs, long dirtyMs, Action action) {

    /** What became of an instance, in a delta. */
    enum Action { ADDED, MODIFIED, DELETED }

    /** Unique among applications. */
    String key() {
        return app + "/" + id;
    }

    /** The status that counts: an operator's word before the instance's own, and a drain that it announces itself. */
    Status effective() {
        boolean drains = "true".equalsIgnoreCase(metadata.get("drain"));
        return drains || overridden == Status.OUT_OF_SERVICE ? Status.OUT_OF_SERVICE : status;
    }
}
