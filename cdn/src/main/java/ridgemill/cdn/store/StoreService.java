package ridgemill.cdn.store;

import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import ridgemill.cdn.agreement.ChangeResult;
import ridgemill.cdn.keys.KeyRecord;
import ridgemill.cdn.keys.KeyState;
import ridgemill.cdn.keys.KeyVote;
import ridgemill.cdn.wire.Link;
import ridgemill.cdn.wire.LinkListener;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.StoreMessages;

/** Handles the messages that arrive over links to this store. Runs on the event loop. */
final class StoreService implements LinkListener {

    private static final System.Logger LOG = System.getLogger(StoreService.class.getName());
    private static final int MAX_PAGE_RECORDS = 2_000;
    private static final long MAX_PAGE_BYTES = 512 << 10;

    private final StoreReplica replica;
    private final Set<Link> links = new LinkedHashSet<>();
    private boolean closed;

    StoreService(StoreReplica replica) {
        this.replica = replica;
    }

    @Override
    public void opened(Link link) {
        if (closed) {
            link.close();
        } else {
            links.add(link);
        }
    }

    /** Closes all links, and each connection that was accepted before once it opens a link. */
    void closeLinks() {
        closed = true;
        new ArrayList<>(links).forEach(Link::close);
    }

    @Override
    public void closed(Link link) {
        links.remove(link);
        replica.updates().closed(link);
    }

    @Override
    public void received(Link link, Message message) {
        if (message instanceof StoreMessages.Agreement agreement) {
            replica.agreement().receive(agreement.content(), replica.monotonicMs());
        } else if (message instanceof StoreMessages.ClaimKey claim) {
            claim(link, claim);
        } else if (message instanceof StoreMessages.FinishKey finish) {
            finish(link, finish);
        } else if (message instanceof StoreMessages.ReleaseKey release) {
            release(link, release);
        } else if (message instanceof StoreMessages.UpdateAcknowledged acknowledged) {
            replica.updates().acknowledged(link, acknowledged.number(), replica.nowMs());
        } else if (message instanceof StoreMessages.ConfirmPurges request) {
            replica.updates().confirmPurges(link, request, replica.decidedEpoch());
        } else if (message instanceof StoreMessages.Subscribe subscribe) {
            replica.updates().subscribe(link, subscribe.incarnationId(), subscribe.number(), replica.nowMs());
        } else if (message instanceof StoreMessages.WatchVoters) {
            replica.updates().watchVoters(link);
        } else if (message instanceof StoreMessages.ChangeItems change) {
            change(link, change);
        } else if (message instanceof StoreMessages.ReadItems read) {
            read(link, read);
        } else if (message instanceof StoreMessages.WritePurge write) {
            purge(link, write);
        } else if (message instanceof StoreMessages.PullKeys pull) {
            link.send(page(pull));
        } else {
            LOG.log(Level.WARNING, "event=message_not_known kind=" + message.kind());
            link.close();
        }
    }

    private void change(Link link, StoreMessages.ChangeItems change) {
        double nowMs = replica.monotonicMs();
        replica.agreement()
                .submit(
                        change.items(),
                        change.forceLeader(),
                        nowMs,
                        nowMs + change.budgetMs(),
                        result -> link.send(new StoreMessages.ItemsChanged(change.callId(), result)));
    }

    private void read(Link link, StoreMessages.ReadItems read) {
        double nowMs = replica.monotonicMs();
        replica.agreement()
                .read(
                        read.forceLeader(),
                        nowMs,
                        nowMs + read.budgetMs(),
                        items -> link.send(new StoreMessages.ItemsRead(
                                read.callId(),
                                items == null ? ChangeResult.Outcome.UNKNOWN : ChangeResult.Outcome.CONFIRMED,
                                "",
                                items == null ? List.of() : List.copyOf(items))),
                        leader -> link.send(new StoreMessages.ItemsRead(
                                read.callId(), ChangeResult.Outcome.NOT_LEADER, leader, List.of())));
    }

    /** Publishes a purge. The result counts only if the caller addressed the voters of this store's epoch. */
    private void purge(Link link, StoreMessages.WritePurge write) {
        UpdatePublisher updates = replica.updates();
        long number = updates.publishPurge(write.purge(), replica.nowMs());
        boolean counts = replica.agreement().isVoter() && write.epoch() == replica.epoch();
        link.send(new StoreMessages.PurgePublished(
                write.callId(), replica.self(), counts, updates.incarnationId(), number));
    }

    private void sendWriteResult(Link link, Message.Call call, boolean written) {
        boolean counts = written && replica.agreement().isVoter();
        link.send(new StoreMessages.WriteResult(call.callId(), replica.self(), counts));
    }

    /** Grants a key, or replies with its current holder. A grant is sent only once it is on disk. */
    private void claim(Link link, StoreMessages.ClaimKey claim) {
        if (claim.epoch() != replica.epoch()) {
            link.send(notVoting(claim, StoreMessages.KeyStatus.Availability.OTHER_EPOCH));
            return;
        }
        if (!replica.agreement().canVoteOnKeys()) {
            link.send(unavailable(claim));
            return;
        }
        KeyVote vote = replica.keys().claim(claim.key(), claim.claimId(), replica.nowMs());
        switch (vote.outcome()) {
            case FULL -> link.send(unavailable(claim));
            case DENIED -> link.send(status(claim, vote.record()));
            case GRANTED ->
                replica.writeRecord(
                        vote.changed() ? vote.record() : null,
                        written -> link.send(written ? status(claim, vote.record()) : unavailable(claim)));
        }
    }

    private static StoreMessages.KeyStatus status(StoreMessages.ClaimKey claim, KeyRecord held) {
        return new StoreMessages.KeyStatus(
                claim.callId(),
                StoreMessages.KeyStatus.Availability.VOTES,
                held.state(),
                held.claimId(),
                held.answer());
    }

    private static StoreMessages.KeyStatus unavailable(StoreMessages.ClaimKey claim) {
        return notVoting(claim, StoreMessages.KeyStatus.Availability.UNAVAILABLE);
    }

    private static StoreMessages.KeyStatus notVoting(
            StoreMessages.ClaimKey claim, StoreMessages.KeyStatus.Availability availability) {
        return new StoreMessages.KeyStatus(claim.callId(), availability, KeyState.RELEASED, "", null);
    }

    /** Records the response of an operation. A second response for a key is a system fault and is logged. */
    private void finish(Link link, StoreMessages.FinishKey finish) {
        KeyRecord held = replica.keys().finish(finish.key(), finish.claimId(), finish.answer(), replica.nowMs());
        if (!held.claimId().equals(finish.claimId())) {
            LOG.log(
                    Level.ERROR,
                    "event=finished_twice key=" + finish.key() + " kept=" + held.claimId() + " refused="
                            + finish.claimId());
        }
        replica.writeRecord(held, written -> sendWriteResult(link, finish, written));
    }

    private void release(Link link, StoreMessages.ReleaseKey release) {
        KeyRecord changed = replica.keys().release(release.key(), release.claimId(), replica.nowMs());
        replica.writeRecord(changed, written -> sendWriteResult(link, release, written));
    }

    /** Returns a page of the operation keys of this store. */
    private StoreMessages.KeysPage page(StoreMessages.PullKeys pull) {
        List<KeyRecord> records = replica.keys().page(pull.afterKey(), MAX_PAGE_RECORDS, MAX_PAGE_BYTES);
        boolean last = records.isEmpty()
                || replica.keys().isLast(records.get(records.size() - 1).key());
        long epoch = replica.agreement().decidedVoters().epoch();
        return new StoreMessages.KeysPage(pull.callId(), replica.self(), epoch, records, last);
    }
}
