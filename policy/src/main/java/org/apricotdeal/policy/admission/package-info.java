/** Admission: which request is served when, which is refused early, and which makes room for a more urgent one. */
package org.apricotdeal.policy.admission;
