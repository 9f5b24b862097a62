package ridgemill.cdn.store;

import java.io.IOException;

/** What is on the disk is no readable store. */
final class DiskCorruptException extends IOException {

    private static final long serialVersionUID = 1;

    DiskCorruptException(String message, Throwable cause) {
        super(message, cause);
    }
}
