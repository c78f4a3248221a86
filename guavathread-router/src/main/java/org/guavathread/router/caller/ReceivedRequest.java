package org.guavathread.router.caller;

/**
 * A request that has arrived whole.
 *
 * @param target the request target as it was sent, with the query
 * @param head the head without the headers that delimit the body, as the codec is to parse it
 * @param body the body without its transfer coding
 * @param headCompleteMillis when the last byte of the head had arrived
 */
@SuppressWarnings("ArrayRecordComponent")
record ReceivedRequest(String target, byte[] head, byte[] body, long headCompleteMillis) {}
