package ridgemill.bench.scale;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import ridgemill.cdn.keys.KeyState;
import ridgemill.cdn.wire.LinkMessages;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.RegistryMessages;
import ridgemill.cdn.wire.StoreMessages;

/** The control side of an edge proxy without a data path: a link to each registry and to each store. */
final class HollowProxy {

    private static final byte[] ANSWER = new byte[200];

    private final EventLoop loop;
    private final Meter meter;
    private final LinkMessages.Hello hello;
    private final List<HollowLink> stores = new ArrayList<>();

    HollowProxy(int number, EventLoop loop, Meter meter) {
        this.loop = loop;
        this.meter = meter;
        this.hello = new LinkMessages.Hello(
                LinkMessages.Hello.PROTOCOL,
                "proxy",
                "hollow-" + number,
                "127.0.0.1",
                UUID.randomUUID().toString());
    }

    void followRegistry(InetSocketAddress address) {
        link(address, new RegistryMessages.Subscribe("", 0)).connect();
    }

    void followStore(InetSocketAddress address) {
        HollowLink link = link(address, new StoreMessages.Subscribe("", 0));
        stores.add(link);
        link.connect();
    }

    private HollowLink link(InetSocketAddress address, Message subscription) {
        return new HollowLink(loop, address, hello, subscription, meter);
    }

    /** Claims a key at all stores and, once a majority has granted it, records an answer; its claim is timed. */
    void claimAndFinish(String key, Stopwatch claims) {
        loop.execute(() -> {
            int majority = stores.size() / 2 + 1;
            claims.started(key, majority);
            int[] granted = {0};
            for (HollowLink store : stores) {
                store.call(callId -> new StoreMessages.ClaimKey(callId, store.epoch(), key, key), reply -> {
                    if (isGranted(reply, key)) {
                        claims.acknowledged(key);
                        granted[0]++;
                        if (granted[0] == majority) {
                            finish(key);
                        }
                    }
                });
            }
        });
    }

    private static boolean isGranted(Message.Reply reply, String key) {
        return reply instanceof StoreMessages.KeyStatus status
                && status.availability() == StoreMessages.KeyStatus.Availability.VOTES
                && status.state() == KeyState.HELD
                && key.equals(status.claimId());
    }

    private void finish(String key) {
        for (HollowLink store : stores) {
            store.call(callId -> new StoreMessages.FinishKey(callId, key, key, ANSWER), ignored -> {});
        }
    }
}
