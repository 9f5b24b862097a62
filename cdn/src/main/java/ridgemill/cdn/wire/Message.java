package ridgemill.cdn.wire;

import java.io.IOException;

/**
 * A message between processes of the system. Each kind is a record that writes its own fields in order; {@link
 * MessageCodec} adds the number of its kind.
 */
public interface Message {

    /** The kind, which decides how the fields are read. */
    MessageKind kind();

    /** Writes the fields in the order in which {@link MessageKind} reads them. */
    void write(FieldWriter out) throws IOException;

    /** A message that asks for an answer. */
    interface Call extends Message {

        /** The number by which the answer is recognised on this connection. */
        long callId();
    }

    /** An answer to a {@link Call}. */
    interface Reply extends Message {

        /** The number of the call that this answers. */
        long callId();
    }
}
