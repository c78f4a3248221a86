package org.guavathread.cli.demo;

import java.util.ArrayList;
import java.util.List;

import org.guavathread.core.sheet.KeyHash;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Builder of the demo's sheet: three hosts in three data centres, two workspaces, and a route of each request kind.
 *
 * <pre>{@code
 * String json = new DemoSheet()
 *         .version(1)
 *         .host("curico", "127.0.0.1:8080", "127.0.0.1:8081", "127.0.0.1:8082")
 *         .workspace("orchards", 1_000, 4_000, List.of("orchards-key"))
 *         .json();
 * }</pre>
 */
final class DemoSheet {

    static final String LOOKUP = "/v1/services/press-queue";
    static final String BOOKING = "/v1/services/bin-intake";
    static final String NOTE = "/v1/services/gate-note";
    static final String OPENING_HOURS = "/v1/services/opening-hours";
    static final String CHAT = "/v1/chat/completions";
    static final String MODEL = "resumidor";

    /** In tokens. Five lookups a second use a quarter of a rate of 100 tokens a second. */
    static final int LOOKUP_COST = 5;

    /** The minimum that a sheet may set; a newly started claim voter abstains for the same time. */
    private static final int RETENTION_SECONDS = 5;

    private static final String REGION = "maule";

    private final ObjectNode root = new ObjectMapper().createObjectNode();
    private final List<String> services = new ArrayList<>();

    DemoSheet() {
        root.putObject("claims").put("retentionSeconds", RETENTION_SECONDS);
        for (String list : List.of("dataCentres", "hosts", "workspaces", "models", "backendServers", "routes")) {
            root.putArray(list);
        }
        list("models")
                .addObject()
                .put("id", MODEL)
                .put("version", "3")
                .put("weights", "resumidor-3")
                .put("maxOutputTokens", 2_000);
    }

    DemoSheet version(long value) {
        root.put("version", value);
        return this;
    }

    DemoSheet host(String dataCentre, String callers, String peers, String admin) {
        list("dataCentres").addObject().put("id", dataCentre).put("region", REGION);
        list("hosts")
                .addObject()
                .put("id", hostId(dataCentre))
                .put("dataCentre", dataCentre)
                .put("callers", callers)
                .put("peers", peers)
                .put("admin", admin);
        return this;
    }

    DemoSheet workspace(String id, long rate, long burst, List<String> keys) {
        ObjectNode workspace = list("workspaces")
                .addObject()
                .put("id", id)
                .put("rate", rate)
                .put("burst", burst)
                .put("region", REGION);
        ArrayNode hashes = workspace.putArray("keys");
        keys.forEach(key -> hashes.addObject().put("hash", KeyHash.ofKey(key).toString()));
        return this;
    }

    DemoSheet engine(String id, String kind, String dataCentre, String address, int memoryPieces) {
        ObjectNode server = server(id, kind, dataCentre, address).put("checksOrders", true);
        server.putArray("models").add(MODEL);
        if (memoryPieces > 0) {
            server.put("memoryPieces", memoryPieces);
        }
        return this;
    }

    DemoSheet service(String id, String dataCentre, String address) {
        server(id, "service", dataCentre, address);
        services.add(id);
        return this;
    }

    /** Serialises the sheet. Call it last: the routes list the services that were added before. */
    String json() {
        list("routes").removeAll();
        serviceRoute("press-queue", LOOKUP, "idempotent").put("costTokens", LOOKUP_COST);
        serviceRoute("bin-intake", BOOKING, "non_repeatable").put("requireIdempotencyKey", true);
        serviceRoute("gate-note", NOTE, "non_repeatable");
        serviceRoute("opening-hours", OPENING_HOURS, "idempotent").put("open", true);
        route("chat", CHAT, "deferrable", "language").putArray("models").add(MODEL);
        return root.toPrettyString();
    }

    static String hostId(String dataCentre) {
        return dataCentre + "-1";
    }

    private ObjectNode serviceRoute(String id, String path, String kind) {
        ObjectNode route = route(id, path, kind, "service");
        services.forEach(route.putArray("backendServers")::add);
        return route;
    }

    private ObjectNode route(String id, String path, String kind, String target) {
        return list("routes")
                .addObject()
                .put("id", id)
                .put("path", path)
                .put("kind", kind)
                .put("target", target);
    }

    private ObjectNode server(String id, String kind, String dataCentre, String address) {
        return list("backendServers")
                .addObject()
                .put("id", id)
                .put("kind", kind)
                .put("dataCentre", dataCentre)
                .put("address", address);
    }

    private ArrayNode list(String name) {
        return (ArrayNode) root.get(name);
    }
}
