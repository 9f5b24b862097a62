package ridgemill.cdn.store;

import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.keys.KeyRecord;
import ridgemill.cdn.keys.KeyState;
import ridgemill.cdn.keys.KeyVote;
import ridgemill.cdn.wire.Link;
import ridgemill.cdn.wire.LinkListener;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.StoreMessages;

/** Answers the messages that come over links to this store. On the event loop. */
final class StoreService implements LinkListener {

    private static final System.Logger LOG = System.getLogger(StoreService.class.getName());
    private static final int PAGE_RECORDS = 2_000;
    private static final long PAGE_BYTES = 512 << 10;

    private final StoreReplica replica;
    private final Set<Link> links = new LinkedHashSet<>();

    StoreService(StoreReplica replica) {
        this.replica = replica;
    }

    @Override
    public void opened(Link link) {
        links.add(link);
    }

    /** Ends all links. */
    void closeLinks() {
        new ArrayList<>(links).forEach(Link::close);
    }

    @Override
    public void closed(Link link) {
        links.remove(link);
        replica.news().closed(link);
    }

    @Override
    public void received(Link link, Message message) {
        if (message instanceof StoreMessages.ClaimKey claim) {
            claim(link, claim);
        } else if (message instanceof StoreMessages.FinishKey finish) {
            finish(link, finish);
        } else if (message instanceof StoreMessages.ReleaseKey release) {
            release(link, release);
        } else if (message instanceof StoreMessages.NewsAcknowledged acknowledged) {
            replica.news().acknowledged(link, acknowledged.number(), replica.nowMs());
        } else if (message instanceof StoreMessages.Subscribe subscribe) {
            replica.news().subscribe(link, subscribe.lifeId(), subscribe.number(), replica.nowMs());
        } else if (message instanceof StoreMessages.WriteItems write) {
            replica.mergeItems(write.items(), written -> answer(link, write, written));
        } else if (message instanceof StoreMessages.WritePurge write) {
            replica.news().publishPurge(write.purge(), replica.nowMs());
            link.send(new StoreMessages.Written(write.callId(), true));
        } else if (message instanceof StoreMessages.ReadItems read) {
            link.send(new StoreMessages.ItemsRead(read.callId(), replica.isVoting(), allItems()));
        } else if (message instanceof StoreMessages.PullState pull) {
            link.send(page(pull));
        } else {
            LOG.log(Level.WARNING, "event=message_not_known kind=" + message.kind());
            link.close();
        }
    }

    private void answer(Link link, Message.Call call, boolean written) {
        link.send(new StoreMessages.Written(call.callId(), written && replica.isVoting()));
    }

    /** Grants a key, or says who has it; a grant is sent once it is on disk. */
    private void claim(Link link, StoreMessages.ClaimKey claim) {
        if (!replica.isVoting()) {
            link.send(unavailable(claim));
            return;
        }
        KeyVote vote = replica.keys().claim(claim.key(), claim.claimId(), replica.nowMs());
        switch (vote.outcome()) {
            case FULL -> link.send(unavailable(claim));
            case DENIED -> link.send(status(claim, vote.record()));
            case GRANTED ->
                replica.store(
                        vote.changed() ? vote.record() : null,
                        written -> link.send(written ? status(claim, vote.record()) : unavailable(claim)));
        }
    }

    private static StoreMessages.KeyStatus status(StoreMessages.ClaimKey claim, KeyRecord held) {
        return new StoreMessages.KeyStatus(claim.callId(), true, held.state(), held.claimId(), held.answer());
    }

    private static StoreMessages.KeyStatus unavailable(StoreMessages.ClaimKey claim) {
        return new StoreMessages.KeyStatus(claim.callId(), false, KeyState.RELEASED, "", null);
    }

    /** Records the answer of an operation. A second answer for a key is a fault of the system, which is logged. */
    private void finish(Link link, StoreMessages.FinishKey finish) {
        if (!replica.isVoting()) {
            answer(link, finish, false);
            return;
        }
        KeyRecord held = replica.keys().finish(finish.key(), finish.claimId(), finish.answer(), replica.nowMs());
        if (!held.claimId().equals(finish.claimId())) {
            LOG.log(
                    Level.ERROR,
                    "event=finished_twice key=" + finish.key() + " kept=" + held.claimId() + " refused="
                            + finish.claimId());
        }
        replica.store(held, written -> answer(link, finish, written));
    }

    private void release(Link link, StoreMessages.ReleaseKey release) {
        if (!replica.isVoting()) {
            answer(link, release, false);
            return;
        }
        KeyRecord changed = replica.keys().release(release.key(), release.claimId(), replica.nowMs());
        replica.store(changed, written -> answer(link, release, written));
    }

    /** A page of what this store holds; the items come with the first one, unless the caller has the same. */
    private StoreMessages.StatePage page(StoreMessages.PullState pull) {
        boolean first = pull.afterKey().isEmpty();
        boolean itemsDiffer = first && pull.itemsDigest() != replica.items().digest();
        List<KeyRecord> records =
                pull.withKeys() ? replica.keys().page(pull.afterKey(), PAGE_RECORDS, PAGE_BYTES) : List.of();
        boolean last = records.isEmpty()
                || replica.keys().isLast(records.get(records.size() - 1).key());
        return new StoreMessages.StatePage(
                pull.callId(),
                replica.isVoting(),
                replica.quorum().voters(),
                itemsDiffer ? allItems() : List.of(),
                records,
                last);
    }

    private List<Item> allItems() {
        return new ArrayList<>(replica.items().all());
    }
}
