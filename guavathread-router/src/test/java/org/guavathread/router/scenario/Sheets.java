package org.guavathread.router.scenario;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Builds the sheets of the scenarios: one model, two plain services, routes of each kind, two workspaces. */
final class Sheets {

    static final String PRENSAS_KEY = "apikey-prensas-5b1c9e";
    static final String VASCONCELOS_KEY = "apikey-vasconcelos-77ad02";
    static final List<String> DATA_CENTRES = List.of("curico", "talca", "linares");

    private final List<Map<String, String>> hosts = new ArrayList<>();
    private final Map<String, String> addresses = new LinkedHashMap<>();
    private final Set<String> withdrawnKeys = new TreeSet<>();
    private final Set<String> leavingServers = new TreeSet<>();

    void host(String id, String dataCentre, String callers, String peers, String admin) {
        hosts.add(Map.of("id", id, "dataCentre", dataCentre, "callers", callers, "peers", peers, "admin", admin));
    }

    void backendServer(String id, String address) {
        addresses.put(id, address);
    }

    void withdrawKey(String apiKey) {
        withdrawnKeys.add(apiKey);
    }

    void leaving(String server) {
        leavingServers.add(server);
    }

    /** Restores withdrawn keys and leaving servers; returns true if there were any. */
    boolean restore() {
        boolean changed = !withdrawnKeys.isEmpty() || !leavingServers.isEmpty();
        withdrawnKeys.clear();
        leavingServers.clear();
        return changed;
    }

    ObjectNode version(long version) {
        ObjectNode sheet = Answer.JSON.createObjectNode().put("version", version);
        sheet.put("publishedAt", "2026-12-04T06:00:00Z").putObject("claims").put("retentionSeconds", 5);
        ArrayNode dataCentres = sheet.putArray("dataCentres");
        DATA_CENTRES.forEach(id -> dataCentres.addObject().put("id", id).put("region", "maule"));
        sheet.set("hosts", Answer.JSON.valueToTree(hosts));
        ArrayNode workspaces = sheet.putArray("workspaces");
        addWorkspace(workspaces, "prensas", PRENSAS_KEY);
        addWorkspace(workspaces, "vasconcelos", VASCONCELOS_KEY);
        sheet.putArray("models")
                .addObject()
                .put("id", "resumidor")
                .put("version", "3")
                .put("weights", "resumidor-3")
                .put("maxOutputTokens", 1000);
        ArrayNode servers = sheet.putArray("backendServers");
        addresses.forEach((id, address) -> addServer(servers, id, address));
        ArrayNode routes = sheet.putArray("routes");
        addService(routes, "booking", "non_repeatable", false);
        addService(routes, "lookup", "idempotent", false);
        addService(routes, "summary", "deferrable", false);
        addService(routes, "timetable", "idempotent", true);
        routes.addObject()
                .put("id", "chat")
                .put("path", "/v1/chat/completions")
                .put("kind", "deferrable")
                .put("target", "language")
                .putArray("models")
                .add("resumidor");
        return sheet;
    }

    private void addWorkspace(ArrayNode workspaces, String id, String apiKey) {
        ObjectNode workspace = workspaces.addObject().put("id", id).put("region", "maule");
        workspace.put("rate", 60_000).put("burst", 120_000);
        ArrayNode keys = workspace.putArray("keys");
        if (!withdrawnKeys.contains(apiKey)) {
            keys.addObject().put("plain", apiKey);
        }
    }

    private void addServer(ArrayNode servers, String id, String address) {
        String kind = id.substring(0, id.indexOf('-'));
        ObjectNode server = servers.addObject().put("id", id).put("kind", kind).put("address", address);
        server.put("dataCentre", DATA_CENTRES.get(id.endsWith("1") ? 0 : 1));
        server.put("state", leavingServers.contains(id) ? "leaving" : "active");
        if (!kind.equals("service")) {
            server.put("checksOrders", true).put("linkMegabytesPerSecond", 1000).put("memoryPieces", 20);
            server.putArray("models").add("resumidor");
        }
    }

    private static void addService(ArrayNode routes, String id, String kind, boolean open) {
        routes.addObject()
                .put("id", id)
                .put("path", "/v1/services/" + id)
                .put("kind", kind)
                .put("target", "service")
                .put("open", open)
                .put("timeoutMillis", 8_000)
                .putArray("backendServers")
                .add("service-1")
                .add("service-2");
    }
}
