package ridgemill.cdn.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SignalsTest {

    @Test
    void theTaskRunsOncePerSignal() throws IOException, InterruptedException {
        Semaphore ran = new Semaphore(0);
        Signals.onHangup(ran::release);
        for (int time = 1; time <= 2; time++) {
            hangUp();
            assertThat(ran.tryAcquire(10, TimeUnit.SECONDS)).as("time " + time).isTrue();
        }
        assertThat(ran.availablePermits()).isZero();
    }

    private static void hangUp() throws IOException, InterruptedException {
        String self = Long.toString(ProcessHandle.current().pid());
        int code = new ProcessBuilder("kill", "-HUP", self).start().waitFor();
        assertThat(code).isZero();
    }
}
