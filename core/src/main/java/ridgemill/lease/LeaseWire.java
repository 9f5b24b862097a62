package ridgemill.lease;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import ridgemill.lease.LeaseMessage.RefusalReason;
import ridgemill.lease.LeaseMessage.SenderState;

/**
 * Lease messages as {@link DatagramFrame} datagrams, each a count and the messages. A build that knows no leases takes what comes for keys
 * that are asked for often, so it is sent nothing but a hello, which is too short to hold one.
 */
public final class LeaseWire {

    private static final byte KIND = 'L';
    private static final byte VERSION = 1;
    private static final int HEAD = 3;
    /** The longest message. */
    private static final int LONGEST = 29;
    private static final int SETTLED = 1;
    private static final int BEFORE_SETTLED = 2;
    private static final int KNOWS = 4;
    /** Waits are told in steps of this, rounded up. */
    private static final int WAIT_STEP_MS = 100;

    private LeaseWire() { }

    /** What a proxy says of itself that understands this. */
    public static byte[] hello() {
        return new byte[] {KIND, VERSION, 0};
    }

    /** Whether a datagram of a peer is of this kind, of whatever version. */
    public static boolean isLease(byte[] datagram) {
        return DatagramFrame.hasKind(datagram, KIND);
    }

    /** Puts messages into as few datagrams as they need, in their order. */
    public static List<byte[]> encode(List<LeaseMessage> messages) {
        List<byte[]> datagrams = new ArrayList<>();
        ByteBuffer out = begun();
        for (LeaseMessage m : messages) {
            if (out.remaining() < LONGEST + DatagramFrame.MAX_TRAILER_BYTES) {
                datagrams.add(DatagramFrame.finish(out));
                out = begun();
            }
            out.put(2, (byte) (out.get(2) + 1));
            put(out, m);
        }
        if (out.position() > HEAD) {
            datagrams.add(DatagramFrame.finish(out));
        }
        return datagrams;
    }

    private static ByteBuffer begun() {
        return DatagramFrame.begin(KIND, VERSION).put((byte) 0);
    }

    private static void put(ByteBuffer out, LeaseMessage m) {
        int kind = m instanceof LeaseMessage.VoteRequest ? 1 : m instanceof LeaseMessage.Vote ? 2 : m instanceof LeaseMessage.Refusal ? 3
                : m instanceof LeaseMessage.Release ? 4 : m instanceof LeaseMessage.TermQuery ? 5 : m instanceof LeaseMessage.TermReply ? 6 : 7;
        SenderState said = m.sender();
        int flags = (said.settled() ? SETTLED : 0) | (said.previousSettled() ? BEFORE_SETTLED : 0)
                | (m instanceof LeaseMessage.TermReply r && r.recovered() ? KNOWS : 0);
        out.put((byte) (kind << 4 | flags)).putInt(m.task()).putInt(said.version()).putShort((short) said.digest());
        if (m instanceof LeaseMessage.VoteRequest a) {
            out.putInt(a.incarnation()).putLong(a.term()).putInt(a.round());
        } else if (m instanceof LeaseMessage.Vote v) {
            out.putInt(v.incarnation()).putLong(v.term()).putInt(v.round());
        } else if (m instanceof LeaseMessage.Refusal r) {
            out.putInt(r.incarnation()).putInt(r.round()).put((byte) r.reason().ordinal()).putLong(r.highestTerm())
                    .put((byte) Math.min(Byte.MAX_VALUE, (r.retryAfterMs() + WAIT_STEP_MS - 1) / WAIT_STEP_MS));
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

    /** Reads a datagram; empty where it is a hello, of another version or spoilt. */
    public static List<LeaseMessage> decode(byte[] datagram) {
        return DatagramFrame.open(datagram, KIND, VERSION).map(in -> {
            List<LeaseMessage> messages = new ArrayList<>();
            try {
                for (int i = in.get(); i > 0; i--) {
                    messages.add(get(in));
                }
                return in.hasRemaining() ? List.<LeaseMessage>of() : messages;
            } catch (BufferUnderflowException | IllegalArgumentException e) {
                return List.<LeaseMessage>of();
            }
        }).orElse(List.of());
    }

    private static LeaseMessage get(ByteBuffer in) {
        int first = in.get();
        int task = in.getInt();
        SenderState said = new SenderState(in.getInt(), in.getShort() & 0xffff, (first & SETTLED) != 0, (first & BEFORE_SETTLED) != 0);
        switch (first >> 4) {
            case 1:
                return new LeaseMessage.VoteRequest(task, said, in.getInt(), in.getLong(), in.getInt());
            case 2:
                return new LeaseMessage.Vote(task, said, in.getInt(), in.getLong(), in.getInt());
            case 3:
                int incarnation = in.getInt();
                int round = in.getInt();
                int why = in.get();
                if (why < 0 || why >= RefusalReason.values().length) {
                    throw new IllegalArgumentException("no such reason: " + why);
                }
                return new LeaseMessage.Refusal(task, said, incarnation, round, RefusalReason.values()[why], in.getLong(), in.get() * WAIT_STEP_MS);
            case 4:
                return new LeaseMessage.Release(task, said, in.getInt(), in.getLong(), in.getInt());
            case 5:
                return new LeaseMessage.TermQuery(task, said, in.getInt(), in.getInt());
            case 6:
                return new LeaseMessage.TermReply(task, said, in.getInt(), in.getInt(), in.getLong(), (first & KNOWS) != 0);
            case 7:
                return new LeaseMessage.Forbid(task, said, in.getInt());
            default:
                throw new IllegalArgumentException("no such message: " + first);
        }
    }
}
