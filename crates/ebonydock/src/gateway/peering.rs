//! Gateways find each other through the platform's rows and exchange load reports over QUIC.
//!
//! Each start makes a certificate and publishes it with the VM's address; VMs accept the certificates
//! that are published and no others.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use rcgen::{CertificateParams, DistinguishedName, DnType, KeyPair};
use serde::{Deserialize, Serialize};

use crate::clock::monotonic;
use crate::gateway::followers::TableNews;
use crate::gateway::load::LoadReport;
use crate::gateway::runtime::GatewayCore;
use crate::ids::VmId;
use crate::peers::messages::{PeerDatagram, PeerReply, PeerRequest};
use crate::peers::{PeerEndpoint, PeerEvents, TlsIdentity};
use crate::platform::rows::{RowError, RowTransaction};

/// The table of VMs.
pub(crate) const MEMBER_TABLE: &str = "gateway_members";
/// Load is reported at most this often; each report costs every other VM a datagram.
const REPORT_INTERVAL: Duration = Duration::from_millis(15);
/// Unchanged load is reported this often, several times within the lifetime of a report.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// A VM that cannot be reached is tried again after this time.
const RECONNECT_PAUSE: Duration = Duration::from_secs(1);
const PUBLISH_PAUSE: Duration = Duration::from_millis(300);

/// What a VM publishes of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GatewayMember {
    /// The VM.
    pub(crate) vm: VmId,
    /// Differs after each start.
    pub(crate) incarnation: u64,
    /// Where it takes messages of other VMs.
    pub(crate) address: SocketAddr,
    /// Its certificate, in PEM.
    pub(crate) certificate: String,
}

/// The connections to other gateways.
pub(crate) struct GatewayPeering {
    endpoint: PeerEndpoint,
    own: GatewayMember,
    private_key: String,
    members: RefCell<HashMap<String, GatewayMember>>,
    tried_at: RefCell<HashMap<VmId, Duration>>,
    sequence: Cell<u64>,
}

fn make_certificate(vm: &VmId, incarnation: u64) -> Result<(String, String), String> {
    let failed = |error: rcgen::Error| error.to_string();
    let mut params = CertificateParams::new(vec!["ebonydock".to_owned()]).map_err(failed)?;
    // Verification looks a certificate up by its subject, which therefore differs for each start.
    let mut subject = DistinguishedName::new();
    subject.push(DnType::CommonName, format!("{vm}-{incarnation:x}"));
    params.distinguished_name = subject;
    let key = KeyPair::generate().map_err(failed)?;
    let certificate = params.self_signed(&key).map_err(failed)?;
    Ok((certificate.pem(), key.serialize_pem()))
}

impl GatewayPeering {
    /// Binds the endpoint at `address`.
    pub(crate) fn bind(vm: &VmId, incarnation: u64, address: SocketAddr) -> Result<Self, String> {
        let (certificate, private_key) = make_certificate(vm, incarnation)?;
        let own = GatewayMember { vm: vm.clone(), incarnation, address, certificate };
        let identity = TlsIdentity {
            authority: own.certificate.clone(),
            certificate: own.certificate.clone(),
            private_key: private_key.clone(),
        };
        let endpoint = PeerEndpoint::bind(vm, address, &identity)?;
        Ok(Self {
            endpoint,
            own,
            private_key,
            members: RefCell::default(),
            tried_at: RefCell::default(),
            sequence: Cell::new(0),
        })
    }

    /// The VMs that published themselves, this one included.
    pub(crate) fn member_count(&self) -> usize {
        let others =
            self.members.borrow().values().filter(|member| member.vm != self.own.vm).count();
        others + 1
    }

    /// Whether a VM is published with this incarnation.
    pub(crate) fn is_member(&self, vm: &VmId, incarnation: u64) -> bool {
        let members = self.members.borrow();
        members.get(vm.as_str()).is_some_and(|member| member.incarnation == incarnation)
    }

    /// Whether a VM is published with any incarnation.
    pub(crate) fn knows(&self, vm: &VmId) -> bool {
        self.members.borrow().contains_key(vm.as_str())
    }

    fn take_news(&self, news: TableNews) {
        let rows = match news {
            TableNews::Snapshot(rows) => {
                self.members.borrow_mut().clear();
                rows
            }
            TableNews::Changed(rows) => rows,
        };
        for row in rows {
            let member = postcard::from_bytes::<GatewayMember>(&row.value);
            let mut members = self.members.borrow_mut();
            let before = match member {
                Ok(member) if !row.deleted => members.insert(row.key, member),
                _ => members.remove(&row.key),
            };
            if let Some(before) = before {
                self.endpoint.disconnect(&before.vm);
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
            log::error!(error = error; "certificates of peers not accepted");
        }
        log::info!(members = self.member_count(); "members changed");
    }

    fn send_report(&self, report: &LoadReport) {
        let now = monotonic();
        for member in self.members.borrow().values().filter(|member| member.vm != self.own.vm) {
            if !self.endpoint.is_linked(&member.vm, member.address) {
                let mut tried_at = self.tried_at.borrow_mut();
                let last = tried_at.get(&member.vm).copied();
                if last.is_some_and(|last| now < last + RECONNECT_PAUSE) {
                    continue;
                }
                tried_at.insert(member.vm.clone(), now);
            }
            let datagram = PeerDatagram::Load(report.clone());
            self.endpoint.send_datagram(&member.vm, member.address, datagram);
        }
    }

    /// Closes all connections.
    pub(crate) fn close(&self) {
        self.endpoint.close();
    }
}

struct GatewayPeerEvents(Rc<GatewayCore>);

impl PeerEvents for GatewayPeerEvents {
    fn handle(
        self: Rc<Self>,
        _from: VmId,
        _request: PeerRequest,
    ) -> LocalBoxFuture<'static, PeerReply> {
        let reply = PeerReply::Rejected("gateways exchange load reports only".to_owned());
        Box::pin(std::future::ready(reply))
    }

    fn datagram(&self, from: VmId, datagram: PeerDatagram) {
        if let PeerDatagram::Load(report) = datagram {
            self.0.take_report(&from, &report);
        }
    }
}

impl GatewayCore {
    /// Publishes this VM, follows the others and reports load to them.
    pub(crate) fn spawn_peering(self: &Rc<Self>) {
        let events = Rc::new(GatewayPeerEvents(Rc::clone(self)));
        tokio::task::spawn_local(self.peering.endpoint.clone().serve(events));
        tokio::task::spawn_local(publish(Rc::clone(self)));
        let follower = self.follow(MEMBER_TABLE, vec![String::new()]);
        tokio::task::spawn_local(follower.run(|core, news, _| core.peering.take_news(news)));
        tokio::task::spawn_local(report_load(Rc::clone(self)));
    }

    /// Takes this VM out of the members, on a planned stop.
    pub(crate) async fn unpublish(&self) {
        let own = &self.peering.own;
        let transaction = RowTransaction::in_part("").delete(MEMBER_TABLE, own.vm.as_str());
        if let Err(error) = self.rows.transact(&transaction).await {
            log::warn!(error = error.to_string(); "member entry not removed");
        }
    }
}

async fn publish(core: Rc<GatewayCore>) {
    let own = &core.peering.own;
    let row = postcard::to_stdvec(own).unwrap_or_default();
    let transaction = RowTransaction::in_part("").write(MEMBER_TABLE, own.vm.as_str(), row);
    loop {
        match core.rows.transact(&transaction).await {
            Ok(version) => {
                log::info!(vm = own.vm.as_str(), version = version; "member entry published");
                return;
            }
            Err(error @ (RowError::Refused(_) | RowError::Unknown(_))) => {
                log::warn!(error = error.to_string(); "member entry not published yet");
            }
            Err(error) => {
                log::error!(error = error.to_string(); "member entry rejected");
                return;
            }
        }
        tokio::time::sleep(PUBLISH_PAUSE).await;
    }
}

async fn report_load(core: Rc<GatewayCore>) {
    let mut last = LoadReport::default();
    let mut last_at = Duration::ZERO;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let now = monotonic();
        let mut report = core.load_report(core.peering.own.incarnation);
        report.sequence = last.sequence;
        if report == last && now < last_at + HEARTBEAT_INTERVAL {
            continue;
        }
        report.sequence = core.peering.sequence.get() + 1;
        core.peering.sequence.set(report.sequence);
        core.peering.send_report(&report);
        last = report;
        last_at = now;
    }
}
