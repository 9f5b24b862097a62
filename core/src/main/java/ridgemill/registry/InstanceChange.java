package ridgemill.registry;

import ridgemill.membership.Instance;

/** One thing that became different in a registry. Applied twice it is applied once. */
public sealed interface InstanceChange {

    /** Which instance it is of. */
    String id();

    /** An instance is new or has another record. */
    record Put(Instance instance) implements InstanceChange {
        @Override
        public String id() {
            return instance.id();
        }
    }

    /** An instance is gone. */
    record Removed(String id) implements InstanceChange { }
}
