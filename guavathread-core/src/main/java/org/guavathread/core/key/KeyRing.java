package org.guavathread.core.key;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.sheet.KeyHash;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.Workspace;

/**
 * Maps the API keys of one sheet to their workspaces. Immutable. A key that the sheet lists for two workspaces is
 * treated as unknown, because a request must run only for the workspace that its key belongs to.
 *
 * <pre>{@code
 * Optional<KeyRing.Owner> owner = ring.ownerOf(presentedKey);
 * }</pre>
 */
public final class KeyRing {

    private final Map<KeyHash, WorkspaceId> workspaces;

    /**
     * A key that the sheet lists.
     *
     * @param workspace the workspace that it belongs to
     * @param keyHash the hash of the key, under which its requests are registered
     */
    public record Owner(WorkspaceId workspace, KeyHash keyHash) {}

    private KeyRing(Map<KeyHash, WorkspaceId> workspaces) {
        this.workspaces = Map.copyOf(workspaces);
    }

    /**
     * Builds the key ring of a sheet.
     *
     * @param sheet the sheet
     * @return its key ring
     */
    public static KeyRing of(Sheet sheet) {
        Map<KeyHash, WorkspaceId> workspacesByHash = new HashMap<>();
        Set<KeyHash> ambiguous = new HashSet<>();
        for (Workspace workspace : sheet.workspaces().values()) {
            for (KeyHash hash : workspace.keys()) {
                WorkspaceId other = workspacesByHash.putIfAbsent(hash, workspace.id());
                if (other != null && !other.equals(workspace.id())) {
                    ambiguous.add(hash);
                }
            }
        }
        workspacesByHash.keySet().removeAll(ambiguous);
        return new KeyRing(workspacesByHash);
    }

    /**
     * Finds the workspace of a key. Hashes are compared in constant time. The hash bucket is chosen by the SHA-256 of
     * the presented key, which a caller cannot steer towards the hash of a key that it does not have.
     *
     * @param presentedKey the key as the caller sent it
     * @return the owner, or empty for a key that is unknown or withdrawn
     */
    public Optional<Owner> ownerOf(String presentedKey) {
        KeyHash hash = KeyHash.ofKey(presentedKey);
        return Optional.ofNullable(workspaces.get(hash)).map(w -> new Owner(w, hash));
    }

    /**
     * Returns whether a key still belongs to a workspace.
     *
     * @param owner the owner that an earlier key ring returned
     * @return true if this key ring maps the key to the same workspace
     */
    public boolean confirms(Owner owner) {
        return owner.workspace().equals(workspaces.get(owner.keyHash()));
    }

    /**
     * Returns the keys that a newer sheet withdraws. A key that moved to another workspace counts as withdrawn, because
     * its running requests belong to the earlier workspace.
     *
     * @param newer the key ring of the newer sheet
     * @return the hashes of the withdrawn keys
     */
    public Set<KeyHash> withdrawnBy(KeyRing newer) {
        Set<KeyHash> withdrawn = new HashSet<>();
        workspaces.forEach((hash, workspace) -> {
            if (!newer.confirms(new Owner(workspace, hash))) {
                withdrawn.add(hash);
            }
        });
        return withdrawn;
    }
}
