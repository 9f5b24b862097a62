package ridgemill.cdn.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import ridgemill.cdn.proxy.control.OperationRegister;

/** A register of operations in memory that tells what was called. */
final class FakeRegister implements OperationRegister {

    final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
    private final Map<String, Object> states = new HashMap<>();

    @Override
    public void claim(String key, double deadlineMs, Consumer<ClaimOutcome> callback) {
        Object state = states.get(key);
        if (state instanceof RecordedAnswer answer) {
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
    public void finish(Claim claim, RecordedAnswer answer) {
        states.put(claim.key(), answer);
        calls.add("finish");
    }

    @Override
    public void release(Claim claim) {
        states.remove(claim.key());
        calls.add("release");
    }
}
