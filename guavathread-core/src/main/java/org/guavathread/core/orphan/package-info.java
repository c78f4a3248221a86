/** Detection of orphans: engine requests and reservations whose request no longer exists. */
package org.guavathread.core.orphan;
