package org.guavathread.router.admin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.function.Function;

import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.metrics.RouterMetrics;
import org.guavathread.router.supervisor.Supervised;
import org.tinylog.Logger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

/**
 * HTTP server for operators and Prometheus.
 *
 * <pre>{@code
 * new AdminServer(settings.listenAdmin(), metrics, Map.of("/status", query -> status.current())).start();
 * }</pre>
 */
public final class AdminServer implements Supervised {

    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);
    private static final int STATUS_OK = 200;
    private static final int STATUS_FAILED = 500;
    private static final int STATUS_UNAVAILABLE = 503;

    private final SocketAddressText listen;
    private final RouterMetrics metrics;
    private final Map<String, Function<Query, Object>> pages;
    private final HttpServer server = new HttpServer();

    /** The query of an admin request. */
    @FunctionalInterface
    public interface Query {

        /**
         * Finds a parameter.
         *
         * @param name its name
         * @return its value; empty if it is missing
         */
        String parameter(String name);
    }

    /**
     * Result of a health or readiness check.
     *
     * @param ok whether the answer has status 200; 503 otherwise
     * @param reason why, in words
     */
    public record Probe(boolean ok, String reason) {}

    /**
     * Builds the server.
     *
     * @param listen where to listen
     * @param metrics the metrics for {@code /metrics}
     * @param pages handlers of the other paths; their results are written as JSON
     */
    public AdminServer(SocketAddressText listen, RouterMetrics metrics, Map<String, Function<Query, Object>> pages) {
        this.listen = listen;
        this.metrics = metrics;
        this.pages = Map.copyOf(pages);
    }

    @Override
    public String name() {
        return "admin-server";
    }

    @Override
    public void start() {
        server.addListener(new NetworkListener("admin", listen.ip(), listen.port()));
        server.getServerConfiguration().addHttpHandler(new Handler(), "/");
        try {
            server.start();
        } catch (IOException e) {
            throw new UncheckedIOException("Cannot listen for operators on " + listen + ": " + e.getMessage(), e);
        }
    }

    @Override
    public void stop() {
        server.shutdownNow();
    }

    /** Answers GET requests only, because operators change the system only through the sheet. */
    private final class Handler extends HttpHandler {

        @Override
        public void service(Request request, Response response) throws IOException {
            if (!Method.GET.equals(request.getMethod())) {
                write(
                        response,
                        405,
                        "application/json",
                        JSON.writeValueAsBytes(Map.of("error", "Only GET is served.")));
                return;
            }
            if ("/metrics".equals(request.getRequestURI())) {
                ByteArrayOutputStream text = new ByteArrayOutputStream();
                metrics.writeTo(text);
                write(response, STATUS_OK, "text/plain; version=0.0.4; charset=utf-8", text.toByteArray());
                return;
            }
            Function<Query, Object> page = pages.get(request.getRequestURI());
            if (page == null) {
                Object error = Map.of(
                        "error",
                        "No such page.",
                        "pages",
                        pages.keySet().stream().sorted().toList());
                write(response, 404, "application/json", JSON.writeValueAsBytes(error));
                return;
            }
            try {
                Object result =
                        page.apply(name -> request.getParameter(name) == null ? "" : request.getParameter(name));
                int status = result instanceof Probe probe && !probe.ok() ? STATUS_UNAVAILABLE : STATUS_OK;
                write(response, status, "application/json", JSON.writeValueAsBytes(result));
            } catch (RuntimeException | JsonProcessingException e) {
                Logger.error(e, "The admin page {} failed.", request.getRequestURI());
                byte[] error = JSON.writeValueAsBytes(Map.of("error", "The page failed; the log names the cause."));
                write(response, STATUS_FAILED, "application/json", error);
            }
        }

        private void write(Response response, int status, String type, byte[] body) throws IOException {
            response.setStatus(status);
            response.setContentType(type);
            response.setContentLength(body.length);
            response.getOutputStream().write(body);
        }
    }
}
