package ridgemill.cdn.wire;

import java.io.IOException;
import ridgemill.cdn.agreement.AgreementMessage;
import ridgemill.cdn.agreement.Ballot;
import ridgemill.cdn.agreement.StateDelta;
import ridgemill.cdn.agreement.StateId;
import ridgemill.cdn.config.PastVersion;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/**
 * Encodes and decodes the agreement messages between stores and the values in them. The disk uses the same encoding for
 * the values.
 */
public final class AgreementCodec {

    /** The types of messages. The ordinal is the number on the wire, so the order must never change. */
    private enum Type {
        STATUS,
        PREPARE,
        PROMISE,
        ACCEPT,
        ACCEPTED,
        REFUSED,
        CONFIRM,
        CONFIRMED,
        PULL,
        DIFFERENCE,
        PAGE
    }

    private AgreementCodec() {}

    /** Writes a message with its type and sender. */
    static void write(AgreementMessage message, FieldWriter out) throws IOException {
        if (message instanceof AgreementMessage.Status status) {
            begin(Type.STATUS, message, out);
            writeStatus(status, out);
        } else if (message instanceof AgreementMessage.Prepare prepare) {
            begin(Type.PREPARE, message, out);
            writeBallot(prepare.ballot(), out);
        } else if (message instanceof AgreementMessage.Promise promise) {
            begin(Type.PROMISE, message, out);
            writeBallot(promise.ballot(), out);
            writeStateId(promise.accepted(), out);
            writeVoterSet(promise.voters(), out);
        } else if (message instanceof AgreementMessage.Accept accept) {
            begin(Type.ACCEPT, message, out);
            writeDelta(accept.delta(), out);
        } else if (message instanceof AgreementMessage.Accepted accepted) {
            begin(Type.ACCEPTED, message, out);
            writeStateId(accepted.stateId(), out);
        } else if (message instanceof AgreementMessage.Refused refused) {
            begin(Type.REFUSED, message, out);
            writeBallot(refused.refused(), out);
            writeBallot(refused.promised(), out);
        } else if (message instanceof AgreementMessage.Confirm confirm) {
            begin(Type.CONFIRM, message, out);
            writeBallot(confirm.ballot(), out);
            out.number(confirm.number());
        } else if (message instanceof AgreementMessage.Confirmed confirmed) {
            begin(Type.CONFIRMED, message, out);
            writeBallot(confirmed.ballot(), out);
            out.number(confirmed.number());
        } else {
            writeTransfer(message, out);
        }
    }

    private static void begin(Type type, AgreementMessage message, FieldWriter out) throws IOException {
        out.number(type.ordinal());
        writeVoter(message.from(), out);
    }

    private static void writeStatus(AgreementMessage.Status status, FieldWriter out) throws IOException {
        out.text(status.zone()).flag(status.eligible()).flag(status.leaving()).flag(status.leading());
        writeBallot(status.promised(), out);
        writeStateId(status.accepted(), out);
        writeStateId(status.decided(), out);
        writeVoterSet(status.voters(), out);
        out.number(status.completeEpoch()).texts(status.knownAddresses());
    }

    private static void writeTransfer(AgreementMessage message, FieldWriter out) throws IOException {
        if (message instanceof AgreementMessage.Pull pull) {
            begin(Type.PULL, message, out);
            out.text(pull.transferId());
            writeStateId(pull.heldStateId(), out);
            out.number(pull.page());
        } else if (message instanceof AgreementMessage.Difference difference) {
            begin(Type.DIFFERENCE, message, out);
            out.text(difference.transferId());
            writeStateId(difference.decided(), out);
            out.list(difference.deltas(), AgreementCodec::writeDelta);
        } else if (message instanceof AgreementMessage.Page page) {
            begin(Type.PAGE, message, out);
            out.text(page.transferId());
            writeStateId(page.decided(), out);
            out.number(page.page()).number(page.pageCount());
            writeStateId(page.stateId(), out);
            writeVoterSet(page.voters(), out);
            out.list(page.items(), AgreementCodec::writeVersionedItem).number(page.digest());
        }
    }

    /** Reads a message that {@link #write} wrote. */
    static AgreementMessage read(FieldReader in) throws IOException {
        Type type = in.enumValue(Type.values());
        Voter from = readVoter(in);
        return switch (type) {
            case STATUS ->
                new AgreementMessage.Status(
                        from,
                        in.text(),
                        in.flag(),
                        in.flag(),
                        in.flag(),
                        readBallot(in),
                        readStateId(in),
                        readStateId(in),
                        readVoterSet(in),
                        in.number(),
                        in.texts());
            case PREPARE -> new AgreementMessage.Prepare(from, readBallot(in));
            case PROMISE -> new AgreementMessage.Promise(from, readBallot(in), readStateId(in), readVoterSet(in));
            case ACCEPT -> new AgreementMessage.Accept(from, readDelta(in));
            case ACCEPTED -> new AgreementMessage.Accepted(from, readStateId(in));
            case REFUSED -> new AgreementMessage.Refused(from, readBallot(in), readBallot(in));
            case CONFIRM -> new AgreementMessage.Confirm(from, readBallot(in), in.number());
            case CONFIRMED -> new AgreementMessage.Confirmed(from, readBallot(in), in.number());
            case PULL -> new AgreementMessage.Pull(from, in.text(), readStateId(in), in.intNumber());
            case DIFFERENCE ->
                new AgreementMessage.Difference(from, in.text(), readStateId(in), in.list(AgreementCodec::readDelta));
            case PAGE ->
                new AgreementMessage.Page(
                        from,
                        in.text(),
                        readStateId(in),
                        in.intNumber(),
                        in.intNumber(),
                        readStateId(in),
                        readVoterSet(in),
                        in.list(AgreementCodec::readVersionedItem),
                        in.number());
        };
    }

    /** Writes a voter. */
    public static void writeVoter(Voter voter, FieldWriter out) throws IOException {
        out.text(voter.address()).text(voter.diskId());
    }

    /** Reads a voter. */
    public static Voter readVoter(FieldReader in) throws IOException {
        return new Voter(in.text(), in.text());
    }

    /** Writes a voter set. */
    public static void writeVoterSet(VoterSet voters, FieldWriter out) throws IOException {
        out.number(voters.epoch())
                .list(voters.voters(), AgreementCodec::writeVoter)
                .list(voters.previous(), AgreementCodec::writeVoter);
    }

    /** Reads a voter set. */
    public static VoterSet readVoterSet(FieldReader in) throws IOException {
        return new VoterSet(in.number(), in.list(AgreementCodec::readVoter), in.list(AgreementCodec::readVoter));
    }

    /** Writes a ballot. */
    public static void writeBallot(Ballot ballot, FieldWriter out) throws IOException {
        out.number(ballot.round()).text(ballot.proposer());
    }

    /** Reads a ballot. */
    public static Ballot readBallot(FieldReader in) throws IOException {
        return new Ballot(in.number(), in.text());
    }

    /** Writes a state identifier. */
    public static void writeStateId(StateId stateId, FieldWriter out) throws IOException {
        writeBallot(stateId.ballot(), out);
        out.number(stateId.revision());
    }

    /** Reads a state identifier. */
    public static StateId readStateId(FieldReader in) throws IOException {
        return new StateId(readBallot(in), in.number());
    }

    private static void writeDelta(StateDelta delta, FieldWriter out) throws IOException {
        writeStateId(delta.base(), out);
        writeStateId(delta.stateId(), out);
        writeVoterSet(delta.voters(), out);
        out.list(delta.items(), AgreementCodec::writeVersionedItem);
    }

    private static StateDelta readDelta(FieldReader in) throws IOException {
        return new StateDelta(
                readStateId(in), readStateId(in), readVoterSet(in), in.list(AgreementCodec::readVersionedItem));
    }

    /** Writes an item with its past versions. */
    public static void writeVersionedItem(VersionedItem entry, FieldWriter out) throws IOException {
        ValueCodec.writeItem(entry.item(), out);
        out.list(entry.past(), (past, target) -> target.number(past.version()).number(past.contentDigest()));
    }

    /** Reads an item with its past versions. */
    public static VersionedItem readVersionedItem(FieldReader in) throws IOException {
        return new VersionedItem(
                ValueCodec.readItem(in), in.list(from -> new PastVersion(from.number(), from.number())));
    }
}
