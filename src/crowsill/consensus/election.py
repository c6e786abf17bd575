"""Elections: campaigning, voting and counting votes."""

from crowsill.consensus.core import RaftCore
from crowsill.consensus.messages import VoteRequest, VoteResponse
from crowsill.consensus.types import HardState, Role


class Election:
    """The campaign of one member, and its votes for other members."""

    def __init__(self, core: RaftCore) -> None:
        self._core = core
        self._votes: dict[str, bool] = {}
        # Voters that reported in this campaign that they had no leader contact since their start.
        self._restarted_voters: set[str] = set()
        self._transfer = False

    def campaign(self, now_s: float, transfer: bool = False) -> bool:
        """Start a campaign.

        Args:
            now_s: Current monotonic time.
            transfer: Whether the leader requested the campaign, which skips the pre-vote.

        Returns:
            True if this member is the only voter and has already won.
        """
        core = self._core
        self._transfer = transfer
        if transfer:
            return self._start_vote(now_s)
        core.role = Role.PRE_CANDIDATE
        core.leader_id = None
        core.reset_election_deadline(now_s)
        self._restarted_voters = {core.member_id} if core.no_leader_since_start else set()
        return self._request_votes(core.term + 1, pre_vote=True, now_s=now_s)

    def _start_vote(self, now_s: float) -> bool:
        core = self._core
        core.role = Role.CANDIDATE
        core.leader_id = None
        core.set_hard_state(HardState(core.term + 1, core.member_id))
        core.reset_election_deadline(now_s)
        return self._request_votes(core.term, pre_vote=False, now_s=now_s)

    def _request_votes(self, term: int, pre_vote: bool, now_s: float) -> bool:
        core = self._core
        self._votes = {core.member_id: True}
        last_index, last_term = core.log.last_index, core.log.last_term
        request = VoteRequest(term, last_index, last_term, pre_vote, self._transfer)
        for voter in core.membership.voters:
            if voter != core.member_id:
                # The member's own vote must be durable before other members respond to it.
                core.send(voter, request, after_sync=True)
        return self._count(now_s)

    def _count(self, now_s: float) -> bool:
        core = self._core
        voters = core.membership.voters
        granted = sum(1 for voter in voters if self._votes.get(voter, False))
        if core.role is Role.PRE_CANDIDATE and self._all_restarted():
            # A leader's lease ends with its process. If all voters have restarted, no lease is left
            # that a new leader could violate.
            self._transfer = True
            return self._start_vote(now_s)
        if granted < core.membership.quorum:
            return False
        if core.role is Role.PRE_CANDIDATE:
            return self._start_vote(now_s)
        return True

    def _all_restarted(self) -> bool:
        return self._core.no_leader_since_start and self._restarted_voters.issuperset(
            self._core.membership.voters
        )

    def on_response(self, now_s: float, source: str, response: VoteResponse) -> bool:
        """Count a vote; return True if the election is won."""
        core = self._core
        if response.pre_vote:
            expected = core.role is Role.PRE_CANDIDATE and response.term == core.term + 1
        else:
            expected = core.role is Role.CANDIDATE and response.term == core.term
        if not expected:
            return False
        self._votes[source] = response.granted
        if response.pre_vote and response.no_leader_since_start:
            self._restarted_voters.add(source)
        return self._count(now_s)

    def on_request(self, now_s: float, source: str, request: VoteRequest) -> None:
        """Respond to a vote request."""
        core = self._core
        # A member with recent leader contact rejects the request. So no lease is violated, and a
        # member that returns from a partition does not disrupt the leader.
        since_contact_s = now_s - core.last_leader_contact_at_s
        leader_is_live = since_contact_s < core.config.election_timeout_s
        if leader_is_live and not request.transfer:
            rejects_only_due_to_restart = (
                request.pre_vote and core.no_leader_since_start and self._could_win(request)
            )
            core.send(
                source,
                VoteResponse(
                    self._response_term(request, rejects_only_due_to_restart),
                    False,
                    request.pre_vote,
                    rejects_only_due_to_restart,
                ),
            )
            return
        if request.term > core.term and not request.pre_vote:
            core.become_follower(request.term, None, now_s)
        if request.pre_vote:
            granted = self._could_win(request)
            term = self._response_term(request, granted)
            core.send(
                source, VoteResponse(term, granted, True, granted and core.no_leader_since_start)
            )
            return
        up_to_date = core.log.is_up_to_date(request.last_index, request.last_term)
        may_vote = core.hard_state.voted_for in (None, source)
        granted = request.term == core.term and may_vote and up_to_date
        if granted:
            core.set_hard_state(HardState(core.term, source))
            core.reset_election_deadline(now_s)
        core.send(source, VoteResponse(core.term, granted, pre_vote=False), after_sync=True)

    def _could_win(self, request: VoteRequest) -> bool:
        """Return whether term and log of a candidate allow a vote for it."""
        core = self._core
        up_to_date = core.log.is_up_to_date(request.last_index, request.last_term)
        return request.term > core.term and up_to_date

    def _response_term(self, request: VoteRequest, is_eligible: bool) -> int:
        return request.term if is_eligible else self._core.term
