package org.guavathread.core.sheet;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Comparator;
import java.util.HexFormat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Writes the canonical JSON form of a sheet: defaults written out, fields in a fixed order, entries sorted by
 * name, API keys as hashes. Equal sheets have the same canonical form, and reading it back yields an equal sheet.
 */
public final class SheetWriter {

    private static final ObjectMapper JSON = new ObjectMapper();

    private SheetWriter() {}

    /**
     * Writes a sheet.
     *
     * @param sheet the sheet
     * @return its canonical form in UTF-8
     */
    public static byte[] write(Sheet sheet) {
        try {
            return JSON.writeValueAsBytes(tree(sheet));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("Sheet " + sheet.version() + " could not be written as JSON.", e);
        }
    }

    static ObjectNode tree(Sheet sheet) {
        ObjectNode root = JSON.createObjectNode();
        root.put("version", sheet.version().value());
        if (!sheet.publishedAt().isEmpty()) {
            root.put("publishedAt", sheet.publishedAt());
        }
        root.putObject("claims").put("retentionSeconds", sheet.claimRetentionSeconds());
        ArrayNode dataCentres = root.putArray("dataCentres");
        sheet.dataCentres().values().stream()
                .sorted(Comparator.comparing(d -> d.id().value()))
                .forEach(d -> dataCentres
                        .addObject()
                        .put("id", d.id().value())
                        .put("region", d.region().value()));
        ArrayNode hosts = root.putArray("hosts");
        sheet.hosts().values().stream()
                .sorted(Comparator.comparing(Host::id))
                .forEach(host -> writeHost(hosts.addObject(), host));
        ArrayNode workspaces = root.putArray("workspaces");
        sheet.workspaces().values().stream()
                .sorted(Comparator.comparing(w -> w.id().value()))
                .forEach(workspace -> writeWorkspace(workspaces.addObject(), workspace));
        ArrayNode models = root.putArray("models");
        sheet.models().values().stream()
                .sorted(Comparator.comparing(m -> m.id().value()))
                .forEach(m -> models.addObject()
                        .put("id", m.id().value())
                        .put("version", m.version())
                        .put("weights", m.weights())
                        .put("maxOutputTokens", m.maxOutputTokens()));
        ArrayNode servers = root.putArray("backendServers");
        sheet.backendServers().values().stream()
                .sorted(Comparator.comparing(s -> s.id().value()))
                .forEach(server -> writeBackendServer(servers.addObject(), server));
        ArrayNode routes = root.putArray("routes");
        sheet.routes().values().stream()
                .sorted(Comparator.comparing(r -> r.id().value()))
                .forEach(route -> writeRoute(routes.addObject(), route));
        return root;
    }

    /**
     * Returns the digest by which hosts compare sheets.
     *
     * @param sheet the sheet
     * @return SHA-256 of the canonical form, as 64 hex digits
     */
    public static String digest(Sheet sheet) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(write(sheet)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("This Java runtime has no SHA-256; every Java platform must have it.", e);
        }
    }

    private static void writeHost(ObjectNode out, Host host) {
        out.put("id", host.id().value())
                .put("dataCentre", host.dataCentre().value())
                .put("callers", host.callers().toString())
                .put("peers", host.peers().toString())
                .put("admin", host.admin().toString())
                .put("state", host.state().sheetName());
    }

    private static void writeWorkspace(ObjectNode out, Workspace workspace) {
        out.put("id", workspace.id().value());
        ArrayNode keys = out.putArray("keys");
        workspace.keys().forEach(key -> keys.addObject().put("hash", key.toString()));
        out.put("rate", workspace.ratePerSecond()).put("burst", workspace.burst());
        workspace.region().ifPresent(region -> out.put("region", region.value()));
    }

    private static void writeBackendServer(ObjectNode out, BackendServer server) {
        out.put("id", server.id().value())
                .put("kind", server.kind().sheetName())
                .put("dataCentre", server.dataCentre().value())
                .put("address", server.address().toString())
                .put("state", server.state().sheetName());
        ArrayNode models = out.putArray("models");
        server.models().forEach(model -> models.add(model.value()));
        out.put("checksOrders", server.checksOrders())
                .put("memoryPieces", server.memoryPieces())
                .put("linkMegabytesPerSecond", server.linkMegabytesPerSecond());
    }

    private static void writeRoute(ObjectNode out, Route route) {
        out.put("id", route.id().value())
                .put("path", route.path())
                .put("kind", route.kind().sheetName())
                .put("target", route.target().sheetName());
        ArrayNode servers = out.putArray("backendServers");
        route.backendServers().forEach(server -> servers.add(server.value()));
        ArrayNode models = out.putArray("models");
        route.models().forEach(model -> models.add(model.value()));
        out.put("open", route.open())
                .put("requireIdempotencyKey", route.requireIdempotencyKey())
                .put("timeoutMillis", route.timeoutMillis())
                .put("costTokens", route.costTokens());
    }
}
