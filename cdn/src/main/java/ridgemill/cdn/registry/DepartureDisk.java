package ridgemill.cdn.registry;

import java.io.IOException;
import java.util.List;
import ridgemill.cdn.instances.Instance;

/** Keeps the instances that are draining or gone. All methods block and are called by one thread at a time. */
interface DepartureDisk {

    /** The disk of a registry that has none: its departures are kept in memory only. */
    DepartureDisk NONE = new DepartureDisk() {
        @Override
        public List<Instance> load() {
            return List.of();
        }

        @Override
        public void save(List<Instance> departed) {}
    };

    /**
     * Reads the instances that were saved last; empty if there are none.
     *
     * @throws IOException if the disk fails; a later attempt may succeed
     */
    List<Instance> load() throws IOException;

    /**
     * Replaces the saved instances and returns once they would survive a power loss.
     *
     * @throws IOException if the instances may not be on disk; they have to be saved again
     */
    void save(List<Instance> departed) throws IOException;
}
