//! Discovery of other gateways through the platform's rows, and connections to them over QUIC for load
//! reports.
//!
//! Each incarnation of a VM creates a certificate and publishes it with its address. VMs accept only
//! published certificates. [`ReportRoutes`] decides which VM reports to which.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use rcgen::{CertificateParams, DistinguishedName, DnType, KeyPair};

use crate::gateway::followers::{FeedPacing, TableUpdate};
use crate::gateway::handle::GatewaySettings;
use crate::gateway::load::LoadUpdate;
use crate::gateway::member_entry::{GatewayMember, MemberGeneration};
use crate::gateway::member_publication::{PublicationState, keep_published};
use crate::gateway::report_exchange::{forward_reports, report_load};
use crate::gateway::report_routes::{ReportMember, ReportRoutes};
use crate::gateway::runtime::GatewayCore;
use crate::ids::VmId;
use crate::peers::messages::{PeerDatagram, PeerReply, PeerRequest};
use crate::peers::{PeerEndpoint, PeerEvents, TlsIdentity};
use crate::platform::rows::StoredRow;

/// The table in which VMs publish themselves.
pub(crate) const MEMBER_TABLE: &str = "gateway_members";
/// Minimum interval between connection attempts to one VM.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(1);
/// The connections to other gateways.
pub(crate) struct GatewayPeering {
    endpoint: PeerEndpoint,
    own: GatewayMember,
    private_key: String,
    members: RefCell<HashMap<String, GatewayMember>>,
    has_member_list: Cell<bool>,
    pub(crate) publication: PublicationState,
    last_connect_attempt: RefCell<HashMap<VmId, Duration>>,
    pub(crate) routes: RefCell<ReportRoutes>,
}

fn make_certificate(vm: &VmId, incarnation: u64) -> Result<(String, String), String> {
    let failed = |error: rcgen::Error| error.to_string();
    let mut params = CertificateParams::new(vec!["ebonydock".to_owned()]).map_err(failed)?;
    // Verification finds a certificate by its subject, so the subject must differ for each incarnation.
    let mut subject = DistinguishedName::new();
    subject.push(DnType::CommonName, format!("{vm}-{incarnation:x}"));
    params.distinguished_name = subject;
    let key = KeyPair::generate().map_err(failed)?;
    let certificate = params.self_signed(&key).map_err(failed)?;
    Ok((certificate.pem(), key.serialize_pem()))
}

impl GatewayPeering {
    /// Binds the endpoint for messages between VMs.
    pub(crate) fn bind(settings: &GatewaySettings, incarnation: u64) -> Result<Self, String> {
        let (certificate, private_key) = make_certificate(&settings.vm, incarnation)?;
        let own = GatewayMember {
            vm: settings.vm.clone(),
            incarnation,
            data_centre: settings.data_centre.clone(),
            capacity: settings.capacity,
            address: settings.peers,
            certificate,
        };
        let identity = TlsIdentity {
            authority: own.certificate.clone(),
            certificate: own.certificate.clone(),
            private_key: private_key.clone(),
        };
        let endpoint = PeerEndpoint::bind(&own.vm, own.address, &identity)?;
        let routes = RefCell::new(ReportRoutes::open(&own.vm));
        Ok(Self {
            endpoint,
            own,
            private_key,
            members: RefCell::default(),
            has_member_list: Cell::new(false),
            publication: PublicationState::default(),
            last_connect_attempt: RefCell::default(),
            routes,
        })
    }

    /// Returns the number of published VMs, this one included.
    pub(crate) fn member_count(&self) -> usize {
        let others =
            self.members.borrow().values().filter(|member| member.vm != self.own.vm).count();
        others + 1
    }

    /// Returns the VMs, this one included, or `None` until the member table has been read.
    pub(crate) fn known_members(&self) -> Option<Vec<VmId>> {
        let vms = || self.report_members().into_iter().map(|member| member.vm).collect();
        self.has_member_list.get().then(vms)
    }

    /// Returns whether the member table has been read.
    pub(crate) fn has_member_list(&self) -> bool {
        self.has_member_list.get()
    }

    /// Returns whether a VM is published with this incarnation.
    pub(crate) fn is_member(&self, vm: &VmId, incarnation: u64) -> bool {
        let members = self.members.borrow();
        members.get(vm.as_str()).is_some_and(|member| member.incarnation == incarnation)
    }

    /// Returns the entry of this VM.
    pub(crate) fn own_entry(&self) -> &GatewayMember {
        &self.own
    }

    /// Returns whether a later incarnation of this VM has published itself.
    pub(crate) fn is_superseded(&self) -> bool {
        self.publication.is_superseded()
    }

    fn apply_update(&self, update: TableUpdate) {
        let rows = match update {
            TableUpdate::Snapshot(rows) => {
                self.has_member_list.set(true);
                self.members.borrow_mut().clear();
                rows
            }
            TableUpdate::Changed(rows) => rows,
        };
        for row in rows {
            let mut members = self.members.borrow_mut();
            let previous = match decode_member(&row) {
                Some((member, _)) => members.insert(row.key, member),
                None => members.remove(&row.key),
            };
            if let Some(previous) = previous {
                self.routes.borrow_mut().reset_vm(&previous.vm);
                self.endpoint.disconnect(&previous.vm);
            }
        }
        let mut authority = self.own.certificate.clone();
        for member in self.members.borrow().values() {
            authority.push_str(&member.certificate);
        }
        let identity = TlsIdentity {
            authority,
            certificate: self.own.certificate.clone(),
            private_key: self.private_key.clone(),
        };
        if let Err(error) = self.endpoint.set_identity(&identity) {
            log::error!(error = error; "certificates of other VMs could not be loaded");
        }
        self.routes.borrow_mut().set_members(&self.report_members());
        log::info!(members = self.member_count(); "members changed");
    }

    /// Returns all VMs, this one included.
    fn report_members(&self) -> Vec<ReportMember> {
        let members = self.members.borrow();
        let others = members.values().filter(|member| member.vm != self.own.vm);
        let members = others.chain([&self.own]).map(|member| ReportMember {
            vm: member.vm.clone(),
            data_centre: member.data_centre.clone(),
            capacity: member.capacity,
        });
        members.collect()
    }

    /// Encodes load reports once, so that they can be sent to several VMs.
    pub(crate) fn encode(&self, update: LoadUpdate<'_>) -> bytes::Bytes {
        self.endpoint.encode_datagram(&PeerDatagram::Load(update))
    }

    /// Sends encoded reports to a VM. Drops them if there is no connection and the last attempt to connect
    /// was less than `RECONNECT_INTERVAL` ago.
    pub(crate) fn send(&self, now: Duration, vm: &VmId, frames: &[bytes::Bytes]) {
        let members = self.members.borrow();
        let Some(member) = members.get(vm.as_str()) else { return };
        if !self.endpoint.is_connected(&member.vm, member.address) {
            let mut last_connect_attempt = self.last_connect_attempt.borrow_mut();
            if last_connect_attempt.get(vm).is_some_and(|last| now < *last + RECONNECT_INTERVAL) {
                return;
            }
            last_connect_attempt.insert(vm.clone(), now);
        }
        for frame in frames {
            self.endpoint.send_frame(&member.vm, member.address, frame.clone());
        }
    }

    /// Counts a report from another VM that could not be decoded, and logs it once in a while.
    pub(crate) fn record_dropped(&self, now: Duration, from: &VmId, reason: &str) {
        self.endpoint.record_dropped(now, from.as_str(), reason);
    }

    /// Returns the number of messages of other VMs that could not be decoded.
    pub(crate) fn dropped_messages(&self) -> u64 {
        self.endpoint.dropped_messages()
    }

    /// Closes all connections.
    pub(crate) fn close(&self) {
        self.endpoint.close();
    }
}

struct GatewayPeerEvents(Rc<GatewayCore>);

impl PeerEvents for GatewayPeerEvents {
    fn handle_request(
        self: Rc<Self>,
        _from: VmId,
        _request: PeerRequest,
    ) -> LocalBoxFuture<'static, PeerReply> {
        let reply = PeerReply::Rejected("gateways exchange load reports only".to_owned());
        Box::pin(std::future::ready(reply))
    }

    fn handle_datagram(&self, from: VmId, datagram: PeerDatagram<'_>) {
        if let PeerDatagram::Load(update) = datagram {
            self.0.apply_load_update(&from, &update);
        }
    }
}

impl GatewayCore {
    /// Starts the tasks that publish this VM, follow the member table and exchange load reports.
    pub(crate) fn spawn_peering(self: &Rc<Self>) {
        let events = Rc::new(GatewayPeerEvents(Rc::clone(self)));
        tokio::task::spawn_local(self.peering.endpoint.clone().serve(events));
        tokio::task::spawn_local(keep_published(Rc::clone(self)));
        let follower = self.follow(MEMBER_TABLE, vec![String::new()], FeedPacing::Rare);
        tokio::task::spawn_local(follower.run(|core, update, _| {
            core.peering.apply_update(update);
            core.update_members();
        }));
        tokio::task::spawn_local(report_load(Rc::clone(self)));
        tokio::task::spawn_local(forward_reports(Rc::clone(self)));
    }
}

/// Decodes a row of the member table; `None` if it was deleted or names no VM.
pub(crate) fn decode_member(row: &StoredRow) -> Option<(GatewayMember, MemberGeneration)> {
    if row.deleted {
        return None;
    }
    match GatewayMember::decode(&row.value) {
        Ok(member) => Some(member),
        Err(reason) => {
            log::error!(
                key = row.key, version = row.version, reason = reason;
                "member entry unreadable; it names no VM"
            );
            None
        }
    }
}
