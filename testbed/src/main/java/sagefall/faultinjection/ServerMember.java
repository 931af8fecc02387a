package sagefall.faultinjection;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import sagefall.emulator.EmulatedServer;

/**
 * A save server as the rig knows it: what it is made of, where it runs, and the ways that lead to
 * it.
 */
final class ServerMember {

    /** What the emulator's discovery looks at; its work is done by the process. */
    final EmulatedServer mirror;

    /** Its place among the addresses; a server that is reborn takes over the place of another. */
    final int slot;

    final List<Way> ways;
    ServerProcess process;

    /** Replaced, reborn or fallen over: it does not come back. */
    boolean gone;

    private double slow = 1;
    private double errors;
    private int pauses;

    /** The way from one sidecar to it, and what troubles that. */
    static final class Way {
        final LinkRelay link;
        final LinkRelay.Way there;
        final LinkRelay.Way back;
        int cutThere;
        int cutBack;
        double moreMillis;
        long cutAt;
        private boolean refuse;
        private boolean silent;

        private final Executor order;

        /**
         * Changes are made one after another by {@code order}, as to close and to listen takes a
         * while.
         */
        Way(LinkRelay link, Executor order) {
            this.link = link;
            this.order = order;
            there = link.there();
            back = link.back();
        }

        /** Brings the link to what has been said of it. */
        void apply() {
            boolean cut = cutThere > 0 || cutBack > 0;
            LinkRelay.Door door =
                    refuse
                            ? LinkRelay.Door.REFUSE
                            : silent || cut ? LinkRelay.Door.NEVER : LinkRelay.Door.OPEN;
            long more = (long) (1000 * moreMillis);
            LinkRelay.Way to =
                    there.delayed(() -> there.delay().getAsLong() + more)
                            .cutAt(cutAt)
                            .held(silent || cutThere > 0);
            LinkRelay.Way from =
                    back.delayed(() -> back.delay().getAsLong() + more).held(silent || cutBack > 0);
            order.execute(() -> link.be(door, to, from));
        }
    }

    ServerMember(EmulatedServer mirror, int slot, List<Way> ways) {
        this.mirror = mirror;
        this.slot = slot;
        this.ways = ways;
        errors = mirror.spec.errorRate();
    }

    long id() {
        return mirror.id;
    }

    /** Its process has ended: refused from now on, or, like a vanished machine, nothing at all. */
    void down(boolean silently) {
        for (Way way : ways) {
            way.refuse = !silently;
            way.silent = silently;
            way.apply();
        }
        mirror.stop(silently);
    }

    /** Its process runs again. */
    void up() {
        for (Way way : ways) {
            way.refuse = false;
            way.silent = false;
            way.apply();
        }
    }

    /** A trouble of its own begins or ends. */
    void trouble(double slowBy, double errorsBy, int pausesBy) {
        slow *= slowBy;
        errors += errorsBy;
        pauses += pausesBy;
        process.ask(state());
    }

    /** What troubles it, as a command. */
    ObjectNode state() {
        return EventHistory.JSON
                .createObjectNode()
                .put("do", "set")
                .put("id", id())
                .put("slow", slow)
                .put("errors", Math.max(0, errors))
                .put("pauses", pauses);
    }

    /** The way from each of these sidecars. */
    List<Way> from(List<SidecarMember> sidecars) {
        List<Way> some = new ArrayList<>();
        sidecars.forEach(s -> some.add(ways.get(s.index())));
        return some;
    }
}
