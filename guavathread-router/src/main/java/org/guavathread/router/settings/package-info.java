/** Settings from flags and environment variables, checked before anything starts. */
package org.guavathread.router.settings;
