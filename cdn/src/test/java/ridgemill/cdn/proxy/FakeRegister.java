package ridgemill.cdn.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import ridgemill.cdn.proxy.control.OperationRegister;

/** An in-memory register of operations that records its calls. */
final class FakeRegister implements OperationRegister {

    final BlockingQueue<String> claims = new LinkedBlockingQueue<>();
    final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
    final Queue<Runnable> deferred = new ConcurrentLinkedQueue<>();
    /** Whether claims are queued in {@link #deferred} until the test runs them. */
    volatile boolean deferring;

    private final Map<String, Object> states = new HashMap<>();

    @Override
    public void claim(String key, double deadlineMs, Consumer<ClaimOutcome> callback) {
        claims.add(key);
        if (deferring) {
            deferred.add(() -> decide(key, callback));
        } else {
            decide(key, callback);
        }
    }

    private void decide(String key, Consumer<ClaimOutcome> callback) {
        Object state = states.get(key);
        if (state instanceof RecordedResponse response) {
            callback.accept(new ClaimOutcome.Finished(response));
        } else if (state != null) {
            callback.accept(new ClaimOutcome.Busy());
        } else {
            Claim claim = new Claim(key, "c");
            states.put(key, claim);
            callback.accept(new ClaimOutcome.Granted(claim));
        }
    }

    @Override
    public void finish(Claim claim, RecordedResponse response) {
        states.put(claim.key(), response);
        calls.add("finish");
    }

    @Override
    public void release(Claim claim) {
        states.remove(claim.key());
        calls.add("release");
    }
}
