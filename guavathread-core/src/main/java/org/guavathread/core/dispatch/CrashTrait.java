package org.guavathread.core.dispatch;

/**
 * A feature of requests that may be the reason why backend servers crash: one part of a prompt, or the whole request.
 *
 * @param hash hash of the feature; equal for requests that share it
 * @param specificity rank among the features of a request; the higher, the fewer requests share the feature
 */
public record CrashTrait(long hash, int specificity) {

    private static final int WHOLE_REQUEST = 1_000;

    /**
     * Returns the trait that only repeats of a request share.
     *
     * @param fingerprint hash of the request's content
     * @return the trait
     */
    public static CrashTrait ofRequest(long fingerprint) {
        return new CrashTrait(fingerprint, WHOLE_REQUEST);
    }

    /**
     * Returns the trait of the requests with a prompt part.
     *
     * @param hash hash of the part's id
     * @param position position of the part in the prompt, from 0; later parts are shared by fewer requests
     * @return the trait
     */
    public static CrashTrait ofPromptPart(long hash, int position) {
        return new CrashTrait(hash, Math.min(position, WHOLE_REQUEST - 1));
    }

    /**
     * Tells whether the trait is the whole request.
     *
     * @return false if it is a part of a prompt
     */
    public boolean isWholeRequest() {
        return specificity == WHOLE_REQUEST;
    }
}
