package org.guavathread.gateway.call;

import java.util.Optional;
import java.util.function.Consumer;

import org.guavathread.core.registry.ServerProcess;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;

/**
 * The software version at which the stream of one request began. The version of a server is known from its entry, and the
 * process that wrote the first event may be another one, so the server is asked again after that event. Runs on the event
 * loop's thread.
 */
final class StreamOrigin {

    /** Delay before the server is asked again after a question without an answer; doubles each time. */
    private static final long FIRST_RETRY_MILLIS = 250;

    private static final int MAX_QUESTIONS = 5;

    /** Time within which a server that has started again has written its entry; servers write about every 1.2 s. */
    private static final long ENTRY_DELAY_MILLIS = 1_500;

    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final RequestRouter.Origins origins;
    private final ProcessCheck processCheck;
    private Worker server;
    private Consumer<SoftwareVersion> onOtherProcess;
    private Consumer<Optional<SoftwareVersion>> onSettled;
    private long firstEventAtMillis;
    private boolean isAsking;
    private int questions;

    StreamOrigin(
            GatewayContext context,
            AdmittedRequest admitted,
            RequestRouter.Origins origins,
            ProcessCheck processCheck) {
        this.context = context;
        this.admitted = admitted;
        this.origins = origins;
        this.processCheck = processCheck;
    }

    /** Finds the version of a stream that the caller takes up again. */
    void find(Consumer<Optional<SoftwareVersion>> onResult) {
        origins.find(
                admitted.request().resumedAttemptId(),
                admitted.service(),
                admitted.rule().timeoutMillis(),
                onResult);
    }

    /**
     * Records the server that wrote the first event, and tells other hosts once its version is certain.
     *
     * @param asKnown the server, as it was known when the request was sent
     * @param onOther receives a version that no server has if another process than the known one may have written the event
     */
    void began(Worker asKnown, Consumer<SoftwareVersion> onOther) {
        if (admitted.rule().mayRunAgain() && admitted.request().lastEventId().isEmpty()) {
            server = asKnown;
            onOtherProcess = onOther;
            firstEventAtMillis = context.loop().nowMillis();
            isAsking = true;
            ask();
        }
    }

    private void ask() {
        questions++;
        processCheck.ask(server, this::answered);
    }

    private void answered(ProcessCheck.Outcome outcome) {
        if (!isAsking) {
            return;
        }
        boolean isListed = outcome == ProcessCheck.Outcome.LISTED;
        if (outcome == ProcessCheck.Outcome.SAME || isListed && context.loop().nowMillis() >= entryAtMillis()) {
            known(server.softwareVersion());
        } else if (outcome == ProcessCheck.Outcome.OTHER) {
            otherAnswered();
        } else if (questions < MAX_QUESTIONS) {
            askLater(isListed);
        } else {
            settle(Optional.empty());
        }
    }

    /** Asks the server again later, or the store as soon as its word counts, if that is all that there is. */
    private void askLater(boolean isListed) {
        long retryAtMillis = context.loop().nowMillis() + (FIRST_RETRY_MILLIS << (questions - 1));
        if (isListed && retryAtMillis >= entryAtMillis()) {
            context.loop().schedule(entryAtMillis(), () -> processCheck.askStore(server, this::answered));
        } else {
            context.loop().schedule(retryAtMillis, this::ask);
        }
    }

    private long entryAtMillis() {
        return firstEventAtMillis + ENTRY_DELAY_MILLIS;
    }

    private void known(SoftwareVersion version) {
        origins.began(
                admitted.request().attemptId(), version, admitted.request().deadlineMillis());
        settle(Optional.of(version));
    }

    /** Either the known process or the one that answers has written the first event. */
    private void otherAnswered() {
        long startedAtMillis = context.state()
                .registry()
                .find(server.id())
                .filter(w -> !w.process().equals(server.process()))
                .map(Worker::startedAtMillis)
                .orElse(0L);
        SoftwareVersion either = server.softwareVersion().orThatOf(new ServerProcess(server.id(), startedAtMillis));
        onOtherProcess.accept(either);
        known(either);
    }

    private void settle(Optional<SoftwareVersion> version) {
        isAsking = false;
        Consumer<Optional<SoftwareVersion>> next = onSettled;
        onSettled = null;
        if (next != null) {
            next.accept(version);
        }
    }

    /** Returns whether the version is settled, so that the stream can go on at other servers. */
    boolean isSettled() {
        return !isAsking;
    }

    /** Waits until the version is settled; it may be empty. */
    void whenSettled(Consumer<Optional<SoftwareVersion>> action) {
        onSettled = action;
    }
}
