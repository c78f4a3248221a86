package org.guavathread.core.sheet;

import java.nio.charset.StandardCharsets;
import java.util.Random;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Sample and random sheets for tests. */
final class SampleSheets {

    static final ObjectMapper JSON = new ObjectMapper();
    static final String PLAIN_KEY = "super-secret-api-key";

    private static final String SAMPLE = """
            {"version":42,"publishedAt":"2026-12-04T06:00:00Z","claims":{"retentionSeconds":300},
             "dataCentres":[{"id":"curico","region":"maule"},{"id":"talca","region":"maule"}],
             "hosts":[
              {"id":"curico-1","dataCentre":"curico","callers":"127.0.0.1:8080","peers":"127.0.0.1:8081",
               "admin":"127.0.0.1:8082","state":"active"},
              {"id":"talca-1","dataCentre":"talca","callers":"127.0.0.1:8083","peers":"127.0.0.1:8084",
               "admin":"127.0.0.1:8085","state":"leaving"}],
             "workspaces":[{"id":"w1","keys":[{"plain":"super-secret-api-key"}],"rate":2000,"burst":8000,
               "region":"maule"}],
             "models":[{"id":"resumidor","version":"3","weights":"resumidor-3","maxOutputTokens":512}],
             "backendServers":[
              {"id":"d1","kind":"decode","dataCentre":"talca","address":"127.0.0.1:9001","state":"active",
               "models":["resumidor"],"checksOrders":true,"memoryPieces":160,"linkMegabytesPerSecond":1000},
              {"id":"s1","kind":"service","dataCentre":"talca","address":"127.0.0.1:9002"}],
             "routes":[
              {"id":"booking","path":"/v1/services/booking","kind":"non_repeatable","target":"service",
               "backendServers":["s1"],"open":false,"requireIdempotencyKey":true,"timeoutMillis":2000,
               "costTokens":1},
              {"id":"chat","path":"/v1/chat/completions","kind":"deferrable","target":"language",
               "models":["resumidor"]}]}
            """;

    private SampleSheets() {}

    static ObjectNode sample() {
        try {
            return (ObjectNode) JSON.readTree(SAMPLE);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    static byte[] bytes(JsonNode node) {
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    static Sheet valid(JsonNode node) {
        SheetReadResult result = SheetReader.read(bytes(node));
        if (result instanceof SheetReadResult.Valid valid) {
            return valid.sheet();
        }
        throw new AssertionError("not valid: " + result);
    }

    /** Returns a valid sheet with random entries. */
    static ObjectNode random(Random random) {
        ObjectNode root = JSON.createObjectNode().put("version", 1 + random.nextInt(1_000));
        int centres = 1 + random.nextInt(4);
        int hosts = 1 + random.nextInt(8);
        ArrayNode list = root.putArray("dataCentres");
        for (int i = 0; i < centres; i++) {
            list.addObject().put("id", "dc" + i).put("region", "r" + i % 2);
        }
        list = root.putArray("hosts");
        for (int i = 0; i < hosts; i++) {
            ObjectNode host = list.addObject().put("id", "h" + i).put("dataCentre", "dc" + random.nextInt(centres));
            host.put("callers", "10.0.0.1:" + (1_000 + 3 * i));
            host.put("peers", "10.0.0.1:" + (1_001 + 3 * i)).put("admin", "[fe80::1]:" + (1_002 + 3 * i));
            if (i > 0 && random.nextBoolean()) {
                host.put("state", "leaving");
            }
        }
        list = root.putArray("workspaces");
        for (int i = 0; i < random.nextInt(6); i++) {
            ObjectNode workspace = list.addObject().put("id", "w" + i).put("rate", 1 + random.nextInt(10_000));
            workspace.put("burst", 400 + random.nextInt(100_000));
            workspace.putArray("keys").addObject().put("plain", "key-" + i);
        }
        root.putArray("models")
                .addObject()
                .put("id", "m0")
                .put("version", "1")
                .put("weights", "x")
                .put("maxOutputTokens", 1 + random.nextInt(4_000));
        list = root.putArray("backendServers");
        for (int i = 0; i < 1 + random.nextInt(6); i++) {
            BackendKind kind = BackendKind.values()[i == 0 ? 2 : random.nextInt(3)];
            ObjectNode server = list.addObject().put("id", "b" + i).put("kind", kind.sheetName());
            server.put("dataCentre", "dc0")
                    .put("address", "10.0.0.2:" + (9_000 + i))
                    .put("memoryPieces", 16);
            if (kind.isEngine()) {
                server.putArray("models").add("m0");
            }
        }
        ObjectNode route = root.putArray("routes").addObject().put("id", "r").put("path", "/v1/r");
        route.put("kind", "idempotent")
                .put("target", "service")
                .putArray("backendServers")
                .add("b0");
        return root;
    }
}
