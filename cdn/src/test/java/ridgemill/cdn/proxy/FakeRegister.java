package ridgemill.cdn.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import ridgemill.cdn.proxy.control.OperationRegister;

/** A register of operations in memory that tells what was called. */
final class FakeRegister implements OperationRegister {

    final BlockingQueue<String> claims = new LinkedBlockingQueue<>();
    final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
    final Queue<Runnable> deferred = new ConcurrentLinkedQueue<>();
    /** Whether claims wait in {@link #deferred} for the test. */
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
        if (state instanceof RecordedResponse answer) {
            callback.accept(new ClaimOutcome.Finished(answer));
        } else if (state != null) {
            callback.accept(new ClaimOutcome.Busy());
        } else {
            Claim claim = new Claim(key, "c");
            states.put(key, claim);
            callback.accept(new ClaimOutcome.Granted(claim));
        }
    }

    @Override
    public void finish(Claim claim, RecordedResponse answer) {
        states.put(claim.key(), answer);
        calls.add("finish");
    }

    @Override
    public void release(Claim claim) {
        states.remove(claim.key());
        calls.add("release");
    }
}
