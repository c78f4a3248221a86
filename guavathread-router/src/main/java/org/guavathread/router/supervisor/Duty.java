package org.guavathread.router.supervisor;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ObjLongConsumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

import org.guavathread.core.time.Clock;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/**
 * A thread that exclusively owns a state object. Other threads submit tasks to it through a bounded inbox. When a task
 * fails, the state is discarded and created anew, as if the process had restarted for this duty.
 *
 * <pre>{@code
 * Duty<ClaimVoter> claims = new Duty<>("claims", ClaimVoter::new, supervisor, clock).every(100, ClaimVoter::expire);
 * CompletableFuture<Integer> size = claims.ask(ClaimVoter::size);
 * }</pre>
 *
 * @param <S> type of the state
 */
public final class Duty<S> implements Supervised {

    /** Enough for a burst of several seconds at one host's share of the peak load. */
    public static final int INBOX_CAPACITY = 16_384;

    private static final long STOP_WAIT_MILLIS = 2_000;

    private final String name;
    private final Supplier<S> factory;
    private final Supervisor supervisor;
    private final Clock clock;
    private final MpscBlockingConsumerArrayQueue<Consumer<S>> inbox =
            new MpscBlockingConsumerArrayQueue<>(INBOX_CAPACITY);
    private long tickEveryMillis = 1_000;
    private ObjLongConsumer<S> onTick = (state, now) -> {};
    private ToLongFunction<S> wakeAt = state -> Long.MAX_VALUE;
    private volatile boolean running;
    private Thread thread;

    /**
     * Builds a duty.
     *
     * @param name name in logs and metrics
     * @param factory creates the state, at the start and after a failure
     * @param supervisor decides about restarts
     * @param clock source of the current time
     */
    public Duty(String name, Supplier<S> factory, Supervisor supervisor, Clock clock) {
        this.name = name;
        this.factory = factory;
        this.supervisor = supervisor;
        this.clock = clock;
    }

    /**
     * Sets the periodic action, which runs on the duty's thread.
     *
     * @param millis period in milliseconds
     * @param action receives the state and the current time in milliseconds since the epoch
     * @return this duty
     */
    public Duty<S> every(long millis, ObjLongConsumer<S> action) {
        tickEveryMillis = millis;
        onTick = action;
        return this;
    }

    /**
     * Sets the latest time of the next run of the action of {@link #every}, if that is before its regular time.
     *
     * @param millisOf reads the time from the state, in milliseconds since the epoch; called after every task
     * @return this duty
     */
    public Duty<S> wakingAt(ToLongFunction<S> millisOf) {
        wakeAt = millisOf;
        return this;
    }

    /**
     * Submits a task.
     *
     * @param task receives the state on the duty's thread
     * @return false if the inbox is full and the task will not run
     */
    public boolean offer(Consumer<S> task) {
        return inbox.offer(task);
    }

    /**
     * Submits a task that returns a result.
     *
     * @param function computes the result from the state, on the duty's thread
     * @param <R> type of the result
     * @return the result, completed on the duty's thread; failed with {@link InboxFullException} if the inbox is full
     */
    public <R> CompletableFuture<R> ask(Function<S, R> function) {
        CompletableFuture<R> answer = new CompletableFuture<>();
        boolean accepted = offer(state -> {
            try {
                answer.complete(function.apply(state));
            } catch (RuntimeException e) {
                answer.completeExceptionally(e);
                throw e;
            }
        });
        if (!accepted) {
            answer.completeExceptionally(new InboxFullException(name, INBOX_CAPACITY));
        }
        return answer;
    }

    /**
     * Returns the number of waiting tasks.
     *
     * @return the number of tasks in the inbox
     */
    public int backlog() {
        return inbox.size();
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public void start() {
        running = true;
        thread = new Thread(this::runUntilStopped, name);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void stop() {
        running = false;
        thread.interrupt();
        try {
            thread.join(STOP_WAIT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runUntilStopped() {
        while (running) {
            try {
                processTasks(factory.get());
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) {
                if (!running || !supervisor.mayRestart(this, e)) {
                    return;
                }
            }
        }
    }

    private void processTasks(S state) throws InterruptedException {
        long tickAtMillis = clock.nowMillis() + tickEveryMillis;
        while (running) {
            long now = clock.nowMillis();
            if (now >= tickAtMillis || now >= wakeAt.applyAsLong(state)) {
                onTick.accept(state, now);
                tickAtMillis = now + tickEveryMillis;
            }
            long untilMillis = Math.min(tickAtMillis, wakeAt.applyAsLong(state));
            Consumer<S> task = inbox.poll(Math.max(1, untilMillis - now), TimeUnit.MILLISECONDS);
            if (task != null) {
                task.accept(state);
            }
        }
    }
}
