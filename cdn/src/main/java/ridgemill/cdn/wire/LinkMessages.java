package ridgemill.cdn.wire;

import java.io.IOException;

/** Messages that open a held connection and keep it alive. */
public final class LinkMessages {

    private LinkMessages() {}

    /**
     * The first message of the side that opened the connection.
     *
     * @param protocol the version of this protocol
     * @param program the program that calls: proxy, cache, registry or store
     * @param nodeName the name of its machine
     * @param address the IP address of its machine
     * @param incarnationId a random text that is new in each life of the process
     */
    public record Hello(int protocol, String program, String nodeName, String address, String incarnationId)
            implements Message {

        /** The version of the protocol that this build speaks. */
        public static final int PROTOCOL = 3;

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

    /** Asks whether the other side still answers. */
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

    /** Answers a {@link Ping}. */
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
