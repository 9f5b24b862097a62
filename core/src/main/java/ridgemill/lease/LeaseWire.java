package ridgemill.lease;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import ridgemill.lease.LeaseMessage.RefusalReason;
import ridgemill.lease.LeaseMessage.SenderState;

/**
 * Encodes lease messages as {@link DatagramFrame} datagrams, each with a count and the messages. A build that does not
 * know leases takes any datagram for keys that are requested often. So a proxy that has not announced support for
 * leases is only sent a hello, which is too short to hold a key.
 */
public final class LeaseWire {

    private static final byte KIND = 'L';
    private static final byte VERSION = 1;
    private static final int HEADER_BYTES = 3;
    /** Size of the longest message. */
    private static final int MAX_MESSAGE_BYTES = 29;
    private static final int FLAG_SETTLED = 1;
    private static final int FLAG_PREVIOUS_SETTLED = 2;
    private static final int FLAG_RECOVERED = 4;
    /** Unit in which waits are encoded, rounded up. */
    private static final int RETRY_STEP_MS = 100;

    private LeaseWire() { }

    /** Returns the datagram by which a proxy announces that it supports leases. */
    public static byte[] hello() {
        return new byte[] {KIND, VERSION, 0};
    }

    /** Returns whether a peer's datagram is of this kind, of any version. */
    public static boolean isLease(byte[] datagram) {
        return DatagramFrame.hasKind(datagram, KIND);
    }

    /** Encodes messages in their order into as few datagrams as possible. */
    public static List<byte[]> encode(List<LeaseMessage> messages) {
        List<byte[]> datagrams = new ArrayList<>();
        ByteBuffer out = beginDatagram();
        for (LeaseMessage m : messages) {
            if (out.remaining() < MAX_MESSAGE_BYTES + DatagramFrame.MAX_TRAILER_BYTES) {
                datagrams.add(DatagramFrame.finish(out));
                out = beginDatagram();
            }
            out.put(2, (byte) (out.get(2) + 1));
            write(out, m);
        }
        if (out.position() > HEADER_BYTES) {
            datagrams.add(DatagramFrame.finish(out));
        }
        return datagrams;
    }

    private static ByteBuffer beginDatagram() {
        return DatagramFrame.begin(KIND, VERSION).put((byte) 0);
    }

    private static void write(ByteBuffer out, LeaseMessage m) {
        int kind = m instanceof LeaseMessage.VoteRequest ? 1 : m instanceof LeaseMessage.Vote ? 2
                : m instanceof LeaseMessage.Refusal ? 3 : m instanceof LeaseMessage.Release ? 4
                : m instanceof LeaseMessage.TermQuery ? 5 : m instanceof LeaseMessage.TermReply ? 6 : 7;
        SenderState sender = m.sender();
        int flags = (sender.settled() ? FLAG_SETTLED : 0) | (sender.previousSettled() ? FLAG_PREVIOUS_SETTLED : 0)
                | (m instanceof LeaseMessage.TermReply r && r.recovered() ? FLAG_RECOVERED : 0);
        out.put((byte) (kind << 4 | flags)).putInt(m.task()).putInt(sender.version()).putShort((short) sender.digest());
        if (m instanceof LeaseMessage.VoteRequest request) {
            out.putInt(request.incarnation()).putLong(request.term()).putInt(request.round());
        } else if (m instanceof LeaseMessage.Vote vote) {
            out.putInt(vote.incarnation()).putLong(vote.term()).putInt(vote.round());
        } else if (m instanceof LeaseMessage.Refusal r) {
            out.putInt(r.incarnation()).putInt(r.round()).put((byte) r.reason().ordinal()).putLong(r.highestTerm())
                    .put((byte) Math.min(Byte.MAX_VALUE, (r.retryAfterMs() + RETRY_STEP_MS - 1) / RETRY_STEP_MS));
        } else if (m instanceof LeaseMessage.Release r) {
            out.putInt(r.incarnation()).putLong(r.term()).putInt(r.successor());
        } else if (m instanceof LeaseMessage.TermQuery r) {
            out.putInt(r.incarnation()).putInt(r.round());
        } else if (m instanceof LeaseMessage.TermReply r) {
            out.putInt(r.incarnation()).putInt(r.round()).putLong(r.highestTerm());
        } else if (m instanceof LeaseMessage.Forbid f) {
            out.putInt(f.durationMs());
        }
    }

    /** Decodes a datagram; returns no messages if it is a hello, has another version or is corrupt. */
    public static List<LeaseMessage> decode(byte[] datagram) {
        return DatagramFrame.open(datagram, KIND, VERSION).map(in -> {
            List<LeaseMessage> messages = new ArrayList<>();
            try {
                for (int i = in.get(); i > 0; i--) {
                    messages.add(read(in));
                }
                return in.hasRemaining() ? List.<LeaseMessage>of() : messages;
            } catch (BufferUnderflowException | IllegalArgumentException e) {
                return List.<LeaseMessage>of();
            }
        }).orElse(List.of());
    }

    private static LeaseMessage read(ByteBuffer in) {
        int first = in.get();
        int task = in.getInt();
        SenderState sender = new SenderState(in.getInt(), in.getShort() & 0xffff, (first & FLAG_SETTLED) != 0,
                (first & FLAG_PREVIOUS_SETTLED) != 0);
        switch (first >> 4) {
            case 1:
                return new LeaseMessage.VoteRequest(task, sender, in.getInt(), in.getLong(), in.getInt());
            case 2:
                return new LeaseMessage.Vote(task, sender, in.getInt(), in.getLong(), in.getInt());
            case 3:
                int incarnation = in.getInt();
                int round = in.getInt();
                int reason = in.get();
                if (reason < 0 || reason >= RefusalReason.values().length) {
                    throw new IllegalArgumentException("unknown refusal reason: " + reason);
                }
                return new LeaseMessage.Refusal(task, sender, incarnation, round, RefusalReason.values()[reason],
                        in.getLong(), in.get() * RETRY_STEP_MS);
            case 4:
                return new LeaseMessage.Release(task, sender, in.getInt(), in.getLong(), in.getInt());
            case 5:
                return new LeaseMessage.TermQuery(task, sender, in.getInt(), in.getInt());
            case 6:
                return new LeaseMessage.TermReply(task, sender, in.getInt(), in.getInt(), in.getLong(),
                        (first & FLAG_RECOVERED) != 0);
            case 7:
                return new LeaseMessage.Forbid(task, sender, in.getInt());
            default:
                throw new IllegalArgumentException("unknown message kind: " + first);
        }
    }
}
