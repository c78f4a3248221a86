package org.guavathread.core.sheet;

import java.io.IOException;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.guavathread.core.id.SheetVersion;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Parses and validates a sheet and reports all of its faults, not only the first.
 *
 * <pre>{@code
 * SheetReadResult result = SheetReader.read(bytes);
 * if (result instanceof SheetReadResult.Invalid invalid) {
 *     invalid.faults().forEach(System.err::println);
 * }
 * }</pre>
 */
public final class SheetReader {

    private static final int MIN_RETENTION_SECONDS = 5;
    private static final int MAX_RETENTION_SECONDS = 3_600;
    private static final int MAX_PARTS = 64;

    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private SheetReader() {}

    /**
     * Reads the value that the configuration service stores under {@code sheet}, or the canonical form that a peer
     * sends.
     *
     * @param json the document in UTF-8
     * @return a sheet, a manifest, or the faults
     */
    public static SheetReadResult read(byte[] json) {
        List<SheetFault> faults = new ArrayList<>();
        JsonNode root = parse(json, "", faults);
        if (root == null) {
            return new SheetReadResult.Invalid(0, faults);
        }
        return root.isObject() && root.has("parts") ? readManifest(root) : readSheet(root, faults);
    }

    /**
     * Reads a sheet of several parts. Lists are concatenated in the order of the manifest; any other field may be
     * present in one part only.
     *
     * @param manifest the manifest
     * @param documents the parts by name, in UTF-8; a part that was not found is absent
     * @return a sheet, the faults, or the parts to fetch again
     */
    public static SheetReadResult readParts(SheetManifest manifest, Map<String, byte[]> documents) {
        List<SheetFault> faults = new ArrayList<>();
        List<String> outdated = new ArrayList<>();
        PartMerger merger = new PartMerger(JSON.createObjectNode(), faults);
        for (String name : manifest.parts()) {
            JsonNode part = documents.containsKey(name) ? parse(documents.get(name), name + "#", faults) : null;
            if (!documents.containsKey(name)
                    || part != null
                            && part.path("version").asLong()
                                    != manifest.version().value()) {
                outdated.add(name);
            } else if (part != null) {
                merger.add(name, part);
            }
        }
        if (!outdated.isEmpty()) {
            return new SheetReadResult.RetryParts(manifest, outdated);
        }
        List<SheetFault> mergedFaults = new ArrayList<>();
        SheetReadResult result = readSheet(merger.merged(), mergedFaults);
        if (faults.isEmpty() && result instanceof SheetReadResult.Valid) {
            return result;
        }
        mergedFaults.forEach(fault -> faults.add(merger.locate(fault)));
        return new SheetReadResult.Invalid(manifest.version().value(), faults);
    }

    /** Does not pass on the parser's message, because it quotes the document, which may contain API keys. */
    private static JsonNode parse(byte[] json, String prefix, List<SheetFault> faults) {
        try {
            JsonNode root = JSON.readTree(json);
            if (root != null && !root.isMissingNode()) {
                return root;
            }
            faults.add(new SheetFault(prefix, "The document is empty; write a JSON object."));
        } catch (JsonProcessingException e) {
            String location = e.getLocation() == null
                    ? ""
                    : " at line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr();
            faults.add(new SheetFault(
                    prefix,
                    "The document is not valid JSON" + location + "; check it for a missing comma, quote or bracket and"
                            + " for a field that is written twice in one object."));
        } catch (IOException e) {
            faults.add(new SheetFault(prefix, "The document is not UTF-8 text; write it as JSON in UTF-8."));
        }
        return null;
    }

    private static SheetReadResult readManifest(JsonNode root) {
        List<SheetFault> faults = new ArrayList<>();
        JsonFields fields = new JsonFields(root, "", faults);
        long version = fields.number("version", 1, Long.MAX_VALUE);
        List<String> parts = new ArrayList<>();
        for (JsonNode part : fields.list("parts")) {
            String partPointer = fields.pointerTo("parts") + "/" + parts.size();
            if (!part.isTextual() || part.textValue().isBlank() || parts.contains(part.textValue())) {
                fields.addFault(
                        partPointer,
                        JsonFields.describe(part) + " is not the name of another part; write each name once, in"
                                + " quotes.");
            }
            parts.add(part.asText());
        }
        if (parts.isEmpty() || parts.size() > MAX_PARTS) {
            fields.addFault(
                    fields.pointerTo("parts"),
                    "The manifest names " + parts.size() + " parts; write from 1 to " + MAX_PARTS + " names.");
        }
        fields.rejectUnknown();
        return faults.isEmpty()
                ? new SheetReadResult.Parts(new SheetManifest(new SheetVersion(version), parts))
                : new SheetReadResult.Invalid(root.path("version").asLong(), faults);
    }

    static SheetReadResult readSheet(JsonNode root, List<SheetFault> faults) {
        JsonFields fields = new JsonFields(root, "", faults);
        if (!fields.isObject()) {
            return new SheetReadResult.Invalid(0, faults);
        }
        SheetEntries entries = new SheetEntries(root, faults);
        Sheet.Builder builder = Sheet.builder()
                .publishedAt(publishedAt(fields))
                .claimRetentionSeconds(claimRetentionSeconds(fields))
                .dataCentres(entries.dataCentres(fields))
                .hosts(entries.hosts(fields))
                .workspaces(entries.workspaces(fields))
                .models(entries.models(fields))
                .backendServers(entries.backendServers(fields))
                .routes(entries.routes(fields));
        long version = fields.number("version", 1, Long.MAX_VALUE);
        fields.rejectUnknown();
        if (faults.isEmpty()) {
            Sheet sheet = builder.version(new SheetVersion(version)).build();
            if (!sheet.activeHosts().isEmpty()) {
                return new SheetReadResult.Valid(sheet, SheetWriter.digest(sheet));
            }
            fields.addFault("/hosts", "No host is active; list at least one host whose state is \"active\".");
        }
        return new SheetReadResult.Invalid(root.path("version").asLong(), faults);
    }

    private static String publishedAt(JsonFields fields) {
        return fields.has("publishedAt")
                ? String.valueOf(fields.parsed("publishedAt", SheetReader::requireInstant))
                : fields.text("publishedAt", "");
    }

    private static String requireInstant(String text) {
        try {
            Instant.parse(text);
            return text;
        } catch (DateTimeException e) {
            throw new IllegalArgumentException(
                    JsonFields.quote(text) + " is not a time; write it as \"2026-12-04T06:00:00Z\".", e);
        }
    }

    private static int claimRetentionSeconds(JsonFields root) {
        JsonFields claims = root.object("claims");
        if (claims == null || !claims.isObject()) {
            return Sheet.Builder.DEFAULT_CLAIM_RETENTION_SECONDS;
        }
        long seconds = claims.number(
                "retentionSeconds",
                MIN_RETENTION_SECONDS,
                MAX_RETENTION_SECONDS,
                Sheet.Builder.DEFAULT_CLAIM_RETENTION_SECONDS);
        claims.rejectUnknown();
        return (int) seconds;
    }
}
