package rig2;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/** Registers a server of a service and sends its heartbeats, each to the first core machine that acknowledges it. */
public final class Heartbeats {

    private static final int INTERVAL_MS = 1_500;
    private static final int TIMEOUT_MS = 1_000;

    private final String id;
    private final String service;
    private final String address;
    private final String zone;
    private final int slots;
    private final List<InetSocketAddress> core;
    private long sequence;
    private int next;

    public Heartbeats(String id, String service, String address, String zone, int slots, List<InetSocketAddress> core) {
        this.id = id;
        this.service = service;
        this.address = address;
        this.zone = zone;
        this.slots = slots;
        this.core = core;
    }

    /** Sends heartbeats on a thread of its own until the process ends. */
    public void start() {
        Thread thread = new Thread(
                () -> {
                    while (true) {
                        send("ready");
                        sleep(INTERVAL_MS);
                    }
                },
                "heartbeats");
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends one heartbeat; returns whether a core machine has acknowledged it. */
    public synchronized boolean send(String state) {
        for (int tries = 0; tries < core.size(); tries++) {
            sequence++;
            String body = String.format(
                    Locale.ROOT,
                    "{\"address\":\"%s\",\"information\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"%s\","
                            + "\"slotCount\":%d},\"status\":{\"state\":\"%s\",\"sequence\":%d,\"coldRemaining\":\"0ms\"}}",
                    address, service, zone, slots, state, sequence);
            byte[] request = Http.request(
                    "PUT",
                    "/ridgemill/instances/" + id,
                    "Content-Type: application/json\r\n",
                    body.getBytes(StandardCharsets.UTF_8));
            Http.Response response = Http.exchange(core.get(next % core.size()), request, TIMEOUT_MS);
            if (response != null && response.status() / 100 == 2) {
                return true;
            }
            next++;
        }
        return false;
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }
}
