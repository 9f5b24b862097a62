package ridgemill.cdn.wire;

import java.io.IOException;

/**
 * A message between processes of the system. Each kind is a record that writes its own fields in order. {@link
 * MessageCodec} adds the number of the kind.
 */
public interface Message {

    /** Returns the kind, which determines how the fields are read. */
    MessageKind kind();

    /** Writes the fields in the order in which {@link MessageKind} reads them. */
    void write(FieldWriter out) throws IOException;

    /** A message that requests a reply. */
    interface Call extends Message {

        /** Returns the number that matches the reply to this call on the connection. */
        long callId();
    }

    /** A reply to a {@link Call}. */
    interface Reply extends Message {

        /** Returns the number of the call that this replies to. */
        long callId();
    }
}
