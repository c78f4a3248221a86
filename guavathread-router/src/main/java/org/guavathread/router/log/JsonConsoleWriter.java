package org.guavathread.router.log;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.Map;

import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Writes each log entry as one line of JSON to standard error. tinylog's own JSON writer needs a file, and hosts
 * have no disks.
 */
public final class JsonConsoleWriter implements Writer {

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Instantiated by tinylog.
     *
     * @param properties settings of the writer; unused
     */
    public JsonConsoleWriter(Map<String, String> properties) {}

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.TAG,
                LogEntryValue.THREAD,
                LogEntryValue.CLASS,
                LogEntryValue.MESSAGE,
                LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) throws JsonProcessingException {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("time", entry.getTimestamp().toInstant().toString());
        line.put("level", entry.getLevel().toString().toLowerCase(java.util.Locale.ROOT));
        if (entry.getTag() != null) {
            line.put("tag", entry.getTag());
        }
        line.put("thread", entry.getThread().getName());
        line.put("class", entry.getClassName());
        line.put("message", entry.getMessage());
        if (entry.getException() != null) {
            line.put("exception", stackTraceOf(entry.getException()));
        }
        System.err.println(JSON.writeValueAsString(line));
    }

    @Override
    public void flush() {
        System.err.flush();
    }

    @Override
    public void close() {
        flush();
    }

    private static String stackTraceOf(Throwable failure) {
        StringWriter text = new StringWriter();
        failure.printStackTrace(new PrintWriter(text));
        return text.toString();
    }
}
