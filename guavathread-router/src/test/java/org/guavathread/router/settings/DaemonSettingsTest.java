package org.guavathread.router.settings;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against invalid settings that are detected only under load instead of at the start. */
class DaemonSettingsTest {

    private static final String[] VALID = {
        "--host-id", "curico-1",
        "--data-centre", "curico",
        "--listen-callers", "127.0.0.1:8080",
        "--listen-peers", "127.0.0.1:8081",
        "--listen-admin", "127.0.0.1:8082",
        "--config-service", "http://127.0.0.1:8500",
        "--host-list", "http://127.0.0.1:8501"
    };

    @Test
    void flagTakesPrecedenceOverItsVariable() {
        Map<String, String> environment =
                Map.of("GUAVATHREAD_HOST_ID", "from-variable", "GUAVATHREAD_DRAIN_DEADLINE_MILLIS", "5000");
        DaemonSettings settings = SettingsParser.parse(new DaemonSettings(), VALID, environment);
        assertEquals("curico-1", settings.hostId().value());
        assertEquals(5_000, settings.drainDeadlineMillis());
    }

    @ParameterizedTest
    @CsvSource({
        "--listen-callers, localhost:8080",
        "--listen-peers, 127.0.0.1:99999",
        "--listen-admin, 127.0.0.1",
        "--config-service, https://127.0.0.1:1",
        "--host-list, http://127.0.0.1:1/path",
        "--host-id, a b",
        "--drain-deadline-millis, 3",
        "--log-level, loud"
    })
    void wrongValueIsNamedWithItsSetting(String flag, String value) {
        String[] arguments = java.util.Arrays.copyOf(VALID, VALID.length + 2);
        arguments[VALID.length] = flag;
        arguments[VALID.length + 1] = value;
        DaemonSettings settings = SettingsParser.parse(new DaemonSettings(), arguments, Map.of());
        SettingException failure = assertThrows(SettingException.class, settings::check);
        assertTrue(failure.getMessage().contains(flag), failure.getMessage());
        assertTrue(failure.getMessage().contains(value), failure.getMessage());
        assertTrue(failure.getMessage().contains("allowed"), failure.getMessage());
    }

    @Test
    void allFaultsAreReportedAtOnceAndMissingSettingsAsMissing() {
        String[] arguments = {"--host-id", "a b", "--listen-callers", "127.0.0.1:8080"};
        DaemonSettings settings = SettingsParser.parse(new DaemonSettings(), arguments, Map.of());
        String message = assertThrows(SettingException.class, settings::check).getMessage();
        assertTrue(message.contains("--host-id is \"a b\""), message);
        assertTrue(message.contains("--data-centre is missing"), message);
        assertTrue(message.contains("--config-service is missing"), message);
        assertTrue(!message.contains("null"), message);
    }
}
