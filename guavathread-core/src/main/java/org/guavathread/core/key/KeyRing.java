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
 * Which API key stands for which workspace in one sheet. Immutable. A key that the sheet gives to two workspaces stands
 * for neither, because a request must run only for the workspace whose key came with it.
 *
 * <pre>{@code
 * Optional<KeyRing.Owner> owner = ring.ownerOf(presentedKey);
 * }</pre>
 */
public final class KeyRing {

    private final Map<KeyHash, WorkspaceId> workspaces;

    /**
     * A key that the sheet knows.
     *
     * @param workspace the workspace that it stands for
     * @param keyHash the hash under which its work is registered
     */
    public record Owner(WorkspaceId workspace, KeyHash keyHash) {}

    private KeyRing(Map<KeyHash, WorkspaceId> workspaces) {
        this.workspaces = Map.copyOf(workspaces);
    }

    /**
     * Builds the ring of a sheet.
     *
     * @param sheet the sheet
     * @return its ring
     */
    public static KeyRing of(Sheet sheet) {
        Map<KeyHash, WorkspaceId> unique = new HashMap<>();
        Set<KeyHash> ambiguous = new HashSet<>();
        for (Workspace workspace : sheet.workspaces().values()) {
            for (KeyHash hash : workspace.keys()) {
                WorkspaceId other = unique.putIfAbsent(hash, workspace.id());
                if (other != null && !other.equals(workspace.id())) {
                    ambiguous.add(hash);
                }
            }
        }
        unique.keySet().removeAll(ambiguous);
        return new KeyRing(unique);
    }

    /**
     * Finds the workspace of a key. Hashes are compared in constant time; the choice of the hash bucket depends on
     * SHA-256 of the presented key, which a caller cannot steer towards the hash of a key that it does not have.
     *
     * @param presentedKey the key as the caller sent it
     * @return the owner, or empty for a key that is unknown or withdrawn
     */
    public Optional<Owner> ownerOf(String presentedKey) {
        KeyHash hash = KeyHash.ofKey(presentedKey);
        return Optional.ofNullable(workspaces.get(hash)).map(w -> new Owner(w, hash));
    }

    /**
     * Tells whether a key still stands for a workspace.
     *
     * @param owner what an earlier ring said
     * @return true if this ring says the same
     */
    public boolean confirms(Owner owner) {
        return owner.workspace().equals(workspaces.get(owner.keyHash()));
    }

    /**
     * Lists the keys that a newer sheet withdraws. A key that now stands for another workspace counts as withdrawn,
     * because its running work belongs to the earlier workspace.
     *
     * @param newer the ring of the newer sheet
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
