package ridgemill.lab;

import java.util.List;
import ridgemill.testbed.load.LoadProfile;
import ridgemill.testbed.node.NodeProfile;

/**
 * What is played and what must come of it. Read from text by {@link ScenarioParser}, which says how each line reads.
 *
 * @param linked whether a link stands between each proxy and each node
 * @param processes whether each proxy is an operating system's process of its own, which can be killed
 * @param prefilled whether the nodes keep every key from the start
 * @param slackMs by how much each of the rules' time limits is longer, for what the machine adds
 */
public record Scenario(String name, String title, long seed, int proxies, boolean processes, int nodes,
                       NodeProfile cache, NodeProfile store, boolean linked, boolean prefilled, LoadProfile load,
                       double slackMs, List<Step> steps, List<Expectation> expectations) {

    /** At a time after the load has begun, in milliseconds, something happens. {@code words} are its line's. */
    public record Step(double atMs, List<String> words, int line) { }

    /** What must hold at the end: a measure of one class, or of {@code all}, against a bound. */
    public record Expectation(String measure, String service, boolean atLeast, double bound, int line) { }

    public Scenario {
        steps = List.copyOf(steps);
        expectations = List.copyOf(expectations);
    }
}
