package org.guavathread.core.sheet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.id.RouteId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.request.RequestKind;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads the entries of the sheet's lists. The constructor collects the names first, so that a reference to an entry
 * that has faults itself is not reported as unknown.
 */
final class SheetEntries {

    /** Default of {@code timeoutMillis} for routes that are not deferrable, in milliseconds. */
    static final int DEFAULT_TIMEOUT_MILLIS = 5_000;

    /** Default of {@code timeoutMillis} for deferrable routes, in milliseconds. */
    static final int DEFAULT_DEFERRABLE_TIMEOUT_MILLIS = 120_000;

    /** Default of {@code linkMegabytesPerSecond} of an engine. */
    static final int DEFAULT_LINK_MEGABYTES_PER_SECOND = 1_000;

    /** Limit of rates and bursts; their products with durations in milliseconds fit into a long. */
    private static final long MAX_TOKENS = 1_000_000_000_000L;

    /** Half of the burst is divided among three home hosts, each of which needs at least one token. */
    private static final long MIN_BURST = 6;

    /**
     * A grant is valid for burst / (2 x rate) if that is below 0.25 s. At less than 20 ms most grants would expire in
     * transit between two hosts, so a burst must be at least 1/25 of the rate.
     */
    private static final long MAX_RATE_PER_BURST = 25;

    private static final int MAX_TIMEOUT_MILLIS = 3_600_000;
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}";
    private static final String PATH_PATTERN = "(/[A-Za-z0-9._~-]+)+";
    private static final String ENTRY_PATH = "/v1/entry";

    private final List<SheetFault> faults;
    private final Set<String> dataCentreNames = new TreeSet<>();
    private final Set<String> regionNames = new TreeSet<>();
    private final Set<String> modelNames = new TreeSet<>();
    private final Set<String> serviceNames = new TreeSet<>();
    private final Map<String, String> pointersByAddress = new HashMap<>();
    private final Map<KeyHash, String> workspacesByKey = new HashMap<>();
    private final Map<String, String> routesByPath = new HashMap<>();

    SheetEntries(JsonNode root, List<SheetFault> faults) {
        this.faults = faults;
        collectNames(root.path("dataCentres"), "id", dataCentreNames);
        collectNames(root.path("dataCentres"), "region", regionNames);
        collectNames(root.path("models"), "id", modelNames);
        for (JsonNode server : root.path("backendServers")) {
            if ("service".equals(server.path("kind").textValue())) {
                serviceNames.add(server.path("id").asText());
            }
        }
    }

    private static void collectNames(JsonNode list, String field, Set<String> names) {
        list.forEach(entry -> {
            if (entry.path(field).isTextual()) {
                names.add(entry.path(field).textValue());
            }
        });
    }

    List<DataCentre> dataCentres(JsonFields root) {
        return entries(root, "dataCentres", fields -> {
            String id = name(fields, "id");
            String region = name(fields, "region");
            fields.rejectUnknown();
            return fields.isValid() ? new DataCentre(new DataCentreId(id), new RegionId(region)) : null;
        });
    }

    List<Host> hosts(JsonFields root) {
        return entries(root, "hosts", fields -> {
            String id = name(fields, "id");
            String dataCentre = fields.reference("dataCentre", "data centre", dataCentreNames);
            SocketAddressText callers = address(fields, "callers");
            SocketAddressText peers = address(fields, "peers");
            SocketAddressText admin = address(fields, "admin");
            AdminState state = fields.choice("state", AdminState.class, AdminState.ACTIVE);
            fields.rejectUnknown();
            return fields.isValid()
                    ? new Host(new HostId(id), new DataCentreId(dataCentre), callers, peers, admin, state)
                    : null;
        });
    }

    List<Workspace> workspaces(JsonFields root) {
        return entries(root, "workspaces", fields -> {
            String id = name(fields, "id");
            List<KeyHash> keys = keys(fields, id);
            long rate = fields.number("rate", 1, MAX_TOKENS);
            long burst = fields.number("burst", 1, MAX_TOKENS);
            if (fields.isValid()) {
                requireMinimumBurst(fields, rate, burst);
            }
            Optional<RegionId> region = fields.has("region")
                    ? Optional.ofNullable(fields.reference("region", "region", regionNames))
                            .map(RegionId::new)
                    : Optional.empty();
            fields.text("region", "");
            fields.rejectUnknown();
            return fields.isValid() ? new Workspace(new WorkspaceId(id), keys, rate, burst, region) : null;
        });
    }

    private static void requireMinimumBurst(JsonFields fields, long rate, long burst) {
        long minBurst = Math.max(MIN_BURST, (rate + MAX_RATE_PER_BURST - 1) / MAX_RATE_PER_BURST);
        if (burst < minBurst) {
            fields.addFault(
                    fields.pointerTo("burst"),
                    burst + " tokens are too few for a rate of " + rate + " a second; write at least " + minBurst
                            + ", so that each of three home hosts holds a token and a grant outlives a round trip.");
        }
    }

    private List<KeyHash> keys(JsonFields fields, String workspace) {
        List<KeyHash> keys = new ArrayList<>();
        int index = 0;
        for (JsonNode entry : fields.list("keys")) {
            String keyPointer = fields.pointerTo("keys") + "/" + index++;
            KeyHash key = key(entry, keyPointer);
            if (key == null) {
                continue;
            }
            String existing = workspacesByKey.putIfAbsent(key, String.valueOf(workspace));
            if (existing != null) {
                fields.addFault(
                        keyPointer,
                        "The API key " + key + " is listed for workspace \"" + existing
                                + "\" already; a key identifies one workspace, so remove one of the entries.");
            }
            keys.add(key);
        }
        return keys;
    }

    /** The messages of this method never show the value, because it may be an API key in the wrong field. */
    private KeyHash key(JsonNode entry, String keyPointer) {
        JsonNode hash = entry.path("hash");
        JsonNode plain = entry.path("plain");
        if (!entry.isObject() || entry.size() != 1 || hash.isMissingNode() == plain.isMissingNode()) {
            faults.add(new SheetFault(
                    keyPointer,
                    "The entry is not an object with exactly one field \"hash\" or \"plain\"; write"
                            + " {\"hash\":\"sha256:…\"} (the value is not shown, since it may hold an API key)."));
            return null;
        }
        if (plain.isTextual() && !plain.textValue().isBlank()) {
            return KeyHash.ofKey(plain.textValue());
        }
        if (hash.isTextual() && KeyHash.isWellFormed(hash.textValue())) {
            return KeyHash.parse(hash.textValue());
        }
        String field = hash.isMissingNode() ? "plain" : "hash";
        faults.add(new SheetFault(
                keyPointer + "/" + field,
                hash.isMissingNode()
                        ? "The API key is not a text of visible characters; write the key in quotes."
                        : "The value is not a key hash; write \"sha256:\" followed by 64 hex digits (the value is not"
                                + " shown, since it may hold an API key)."));
        return null;
    }

    List<Model> models(JsonFields root) {
        return entries(root, "models", fields -> {
            String id = name(fields, "id");
            String version = fields.text("version");
            String weights = fields.text("weights");
            long maxOutputTokens = fields.number("maxOutputTokens", 1, 1_000_000);
            fields.rejectUnknown();
            return fields.isValid() ? new Model(new ModelId(id), version, weights, (int) maxOutputTokens) : null;
        });
    }

    List<BackendServer> backendServers(JsonFields root) {
        return entries(root, "backendServers", fields -> {
            String id = name(fields, "id");
            BackendKind kind = fields.choice("kind", BackendKind.class);
            String dataCentre = fields.reference("dataCentre", "data centre", dataCentreNames);
            SocketAddressText address = address(fields, "address");
            AdminState state = fields.choice("state", AdminState.class, AdminState.ACTIVE);
            List<String> models = fields.references("models", "model", modelNames);
            boolean checksOrders = fields.flag("checksOrders", false);
            long pieces = kind == BackendKind.DECODE
                    ? fields.number("memoryPieces", 1, 100_000_000)
                    : fields.number("memoryPieces", 0, 100_000_000, 0);
            boolean engine = kind != null && kind.isEngine();
            long link = fields.number(
                    "linkMegabytesPerSecond",
                    engine ? 1 : 0,
                    100_000_000,
                    engine ? DEFAULT_LINK_MEGABYTES_PER_SECOND : 0);
            if (kind == BackendKind.SERVICE && !models.isEmpty()) {
                fields.addFault(
                        fields.pointerTo("models"),
                        "A backend server of kind service serves no models; remove the list, or write the kind"
                                + " prefill or decode.");
            }
            fields.rejectUnknown();
            if (!fields.isValid()) {
                return null;
            }
            List<ModelId> modelIds = models.stream().map(ModelId::new).toList();
            return new BackendServer(
                    new BackendServerId(id),
                    kind,
                    new DataCentreId(dataCentre),
                    address,
                    state,
                    modelIds,
                    checksOrders,
                    (int) pieces,
                    (int) link);
        });
    }

    List<Route> routes(JsonFields root) {
        return entries(root, "routes", fields -> {
            String id = name(fields, "id");
            String path = path(fields);
            RequestKind kind = fields.choice("kind", RequestKind.class);
            RouteTarget target = fields.choice("target", RouteTarget.class);
            List<String> servers = fields.references("backendServers", "backend server of kind service", serviceNames);
            List<String> models = fields.references("models", "model", modelNames);
            boolean open = fields.flag("open", false);
            boolean requireKey = fields.flag("requireIdempotencyKey", false);
            int defaultTimeout =
                    kind == RequestKind.DEFERRABLE ? DEFAULT_DEFERRABLE_TIMEOUT_MILLIS : DEFAULT_TIMEOUT_MILLIS;
            long timeout = fields.number("timeoutMillis", 1, MAX_TIMEOUT_MILLIS, defaultTimeout);
            long cost = fields.number("costTokens", 1, 1_000_000_000, 1);
            if (target == RouteTarget.LANGUAGE) {
                requireOnly(fields, "language", "models", "backendServers");
                if (kind == RequestKind.NON_REPEATABLE) {
                    fields.addFault(
                            fields.pointerTo("kind"),
                            "\"non_repeatable\" is not a kind of language routes, which take no claims; write"
                                    + " deferrable or idempotent.");
                }
            } else if (target == RouteTarget.SERVICE) {
                requireOnly(fields, "service", "backendServers", "models");
            }
            fields.rejectUnknown();
            if (!fields.isValid()) {
                return null;
            }
            return new Route(
                    new RouteId(id),
                    path,
                    kind,
                    target,
                    servers.stream().map(BackendServerId::new).toList(),
                    models.stream().map(ModelId::new).toList(),
                    open,
                    requireKey,
                    (int) timeout,
                    (int) cost);
        });
    }

    private static void requireOnly(JsonFields fields, String target, String required, String disallowed) {
        if (!fields.optionalList(required).iterator().hasNext()) {
            fields.addFault(
                    fields.pointerTo(required),
                    "A route with target " + target + " has no " + required + "; list at least one under \"" + required
                            + "\".");
        }
        if (fields.optionalList(disallowed).iterator().hasNext()) {
            fields.addFault(
                    fields.pointerTo(disallowed),
                    "A route with target " + target + " does not use " + disallowed + "; remove the list or change the"
                            + " target.");
        }
    }

    private String path(JsonFields fields) {
        String path = fields.text("path");
        if (path == null) {
            return null;
        }
        if (!path.matches(PATH_PATTERN) || path.equals(ENTRY_PATH)) {
            fields.addFault(
                    fields.pointerTo("path"),
                    JsonFields.quote(path) + " cannot be the path of a route; write \"/\" and segments of letters,"
                            + " digits and . _ ~ -, other than " + ENTRY_PATH + ".");
            return null;
        }
        String existing = routesByPath.putIfAbsent(path, fields.pointer());
        if (existing != null) {
            fields.addFault(
                    fields.pointerTo("path"),
                    JsonFields.quote(path) + " is the path of the route at " + existing
                            + " already; write another one.");
        }
        return path;
    }

    private SocketAddressText address(JsonFields fields, String name) {
        SocketAddressText address = fields.parsed(name, SocketAddressText::parse);
        if (address != null) {
            String existing = pointersByAddress.putIfAbsent(address.toString(), fields.pointerTo(name));
            if (existing != null) {
                fields.addFault(
                        fields.pointerTo(name),
                        JsonFields.quote(address.toString()) + " is the address at " + existing
                                + " already; each listener has an address of its own.");
            }
        }
        return address;
    }

    private static String name(JsonFields fields, String field) {
        String name = fields.text(field);
        if (name != null && !name.matches(NAME_PATTERN)) {
            fields.addFault(
                    fields.pointerTo(field),
                    JsonFields.quote(name) + " is not a name; write at most 128 letters, digits and . _ : / -, starting"
                            + " with a letter or digit.");
        }
        return name;
    }

    private <T> List<T> entries(JsonFields root, String list, Function<JsonFields, T> reader) {
        List<T> entries = new ArrayList<>();
        Map<String, String> pointersById = new HashMap<>();
        int index = 0;
        for (JsonNode node : root.list(list)) {
            JsonFields fields = new JsonFields(node, root.pointerTo(list) + "/" + index++, faults);
            if (!fields.isObject()) {
                continue;
            }
            T entry = reader.apply(fields);
            if (node.path("id").isTextual()) {
                String id = node.path("id").textValue();
                String existing = pointersById.putIfAbsent(id, fields.pointer());
                if (existing != null) {
                    fields.addFault(
                            fields.pointerTo("id"),
                            JsonFields.quote(id) + " is the name of the entry at " + existing
                                    + " already; names in a list differ, so write another one.");
                }
            }
            if (entry != null) {
                entries.add(entry);
            }
        }
        return entries;
    }
}
