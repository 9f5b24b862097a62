package ridgemill.registry;

import ridgemill.membership.Instance;

/** A change in a registry. Applying it twice has the same effect as applying it once. */
public sealed interface InstanceChange {

    /** The id of the instance. */
    String id();

    /** An instance is new or its record has changed. */
    record Put(Instance instance) implements InstanceChange {
        @Override
        public String id() {
            return instance.id();
        }
    }

    /** An instance was removed. */
    record Removed(String id) implements InstanceChange { }
}
