package ridgemill.cdn.wire;

import java.io.IOException;

/** Messages that open a connection and keep it alive. */
public final class LinkMessages {

    private LinkMessages() {}

    /**
     * The first message of the connecting side.
     *
     * @param protocol the version of this protocol
     * @param program the connecting program: proxy, cache, registry or store
     * @param nodeName the name of its machine
     * @param address the IP address of its machine
     * @param incarnationId a random identifier that is new at each start of the process
     */
    public record Hello(int protocol, String program, String nodeName, String address, String incarnationId)
            implements Message {

        /** The protocol version of this build. */
        public static final int PROTOCOL = 4;

        @Override
        public MessageKind kind() {
            return MessageKind.HELLO;
        }

        @Override
        public void write(FieldWriter out) throws IOException {
            out.number(protocol).text(program).text(nodeName).text(address).text(incarnationId);
        }

        static Hello read(FieldReader in) throws IOException {
            return new Hello(in.intNumber(), in.text(), in.text(), in.text(), in.text());
        }
    }

    /** Checks whether the other side still responds. */
    public record Ping() implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.PING;
        }

        @Override
        public void write(FieldWriter out) {}

        static Ping read(FieldReader in) {
            return new Ping();
        }
    }

    /** The reply to a {@link Ping}. */
    public record Pong() implements Message {

        @Override
        public MessageKind kind() {
            return MessageKind.PONG;
        }

        @Override
        public void write(FieldWriter out) {}

        static Pong read(FieldReader in) {
            return new Pong();
        }
    }
}
