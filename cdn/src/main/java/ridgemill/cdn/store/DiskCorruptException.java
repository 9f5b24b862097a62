package ridgemill.cdn.store;

import java.io.IOException;

/** The data on the disk is not a readable store. */
final class DiskCorruptException extends IOException {

    private static final long serialVersionUID = 1;

    DiskCorruptException(String message, Throwable cause) {
        super(message, cause);
    }
}
