package ridgemill.cdn.store.log;

import java.io.IOException;

/** A part of the log that was on disk is not as it was written. */
public final class BrokenLogException extends IOException {

    private static final long serialVersionUID = 1;

    BrokenLogException(String message) {
        super(message);
    }
}
