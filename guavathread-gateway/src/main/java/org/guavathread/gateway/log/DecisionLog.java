package org.guavathread.gateway.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.guavathread.core.time.Clock;
import org.guavathread.router.supervisor.Supervised;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;
import org.tinylog.Logger;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

/**
 * Writes one line of JSON for each decision. A dedicated thread writes the lines from a bounded queue. When the queue is
 * full, lines are dropped and counted, and the next written line contains the count.
 *
 * <pre>{@code
 * log.entry("send").id(attemptId).with("server", worker.id()).write();
 * }</pre>
 */
public final class DecisionLog implements Supervised {

    /** Queue capacity in lines: two seconds at one host's target load and four lines per request. */
    private static final int QUEUE_CAPACITY_LINES = 4_096;

    private static final long POLL_MILLIS = 500;
    private static final long STOP_WAIT_MILLIS = 500;

    /** Lines that are written at once, in bytes, with one more line at most. */
    private static final int MAX_BATCH_BYTES = 8 * 1024;

    /** Stands in the queue for the end of the log. */
    private static final Map<String, Object> END = new LinkedHashMap<>();

    private final JsonFactory json = new JsonFactory();
    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
    private final MpscBlockingConsumerArrayQueue<Map<String, Object>> queue =
            new MpscBlockingConsumerArrayQueue<>(QUEUE_CAPACITY_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final Clock clock;
    private final String host;
    private final PrintStream out;
    private volatile boolean running;
    private Thread thread;

    /**
     * Creates the log.
     *
     * @param host name of this host, included in each line
     * @param clock source of the time
     * @param out where lines are written
     */
    public DecisionLog(String host, Clock clock, PrintStream out) {
        this.host = host;
        this.clock = clock;
        this.out = out;
    }

    /** A log line under construction. */
    public final class Entry {

        private final Map<String, Object> fields = new LinkedHashMap<>();

        private Entry(String event) {
            fields.put("at", clock.nowMillis());
            fields.put("host", host);
            fields.put("event", event);
        }

        /**
         * Adds the id of the request that the decision concerns.
         *
         * @param id the request's id
         * @return this entry
         */
        public Entry id(String id) {
            fields.put("id", id);
            return this;
        }

        /**
         * Adds an input or the outcome of the decision.
         *
         * @param name name of the field
         * @param value its value; numbers stay numbers, other values become text
         * @return this entry
         */
        public Entry with(String name, Object value) {
            fields.put(name, value instanceof Number || value instanceof Boolean ? value : String.valueOf(value));
            return this;
        }

        /** Queues the line for writing; drops and counts it if the queue is full. */
        public void write() {
            if (!queue.offer(fields)) {
                dropped.incrementAndGet();
            }
        }
    }

    /**
     * Starts a log line.
     *
     * @param event what was decided, for example {@code "send"}
     * @return the line
     */
    public Entry entry(String event) {
        return new Entry(event);
    }

    /**
     * Returns the number of dropped lines.
     *
     * @return lines dropped since the last written line
     */
    public long dropped() {
        return dropped.get();
    }

    @Override
    public String name() {
        return "decision-log";
    }

    @Override
    public void start() {
        running = true;
        thread = new Thread(this::writeUntilStopped, name());
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void stop() {
        running = false;
        // Wakes the writer, which may wait for a line: what happens meanwhile is no longer waited for by anybody.
        queue.offer(END);
        try {
            thread.join(STOP_WAIT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        out.flush();
    }

    private void writeUntilStopped() {
        try {
            while (running || !queue.isEmpty()) {
                Map<String, Object> fields = queue.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                if (fields != null && fields != END) {
                    print(fields);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes a line, and those that are queued behind it, in one system call. */
    private void print(Map<String, Object> first) {
        lines.reset();
        for (Map<String, Object> fields = first; fields != null && fields != END; ) {
            long droppedLines = dropped.getAndSet(0);
            if (droppedLines > 0) {
                fields.put("droppedLines", droppedLines);
            }
            append(fields);
            fields = lines.size() < MAX_BATCH_BYTES ? queue.poll() : null;
        }
        out.write(lines.toByteArray(), 0, lines.size());
        out.flush();
    }

    private void append(Map<String, Object> fields) {
        try (JsonGenerator line = json.createGenerator(lines)) {
            line.writeStartObject();
            for (Map.Entry<String, Object> field : fields.entrySet()) {
                line.writeFieldName(field.getKey());
                writeValue(line, field.getValue());
            }
            line.writeEndObject();
        } catch (IOException e) {
            Logger.error(e, "A log line cannot be written as JSON: {}.", fields);
        }
        lines.write('\n');
    }

    private static void writeValue(JsonGenerator line, Object value) throws IOException {
        if (value instanceof Integer || value instanceof Long) {
            line.writeNumber(((Number) value).longValue());
        } else if (value instanceof Double number) {
            line.writeNumber(number);
        } else if (value instanceof Boolean bool) {
            line.writeBoolean(bool);
        } else if (value instanceof Number) {
            line.writeNumber(value.toString());
        } else {
            line.writeString((String) value);
        }
    }
}
